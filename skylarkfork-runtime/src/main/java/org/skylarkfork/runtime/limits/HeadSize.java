package org.skylarkfork.runtime.limits;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;

/**
 * Estimates the heap that the head of a request or of an answer takes. A header line of four bytes
 * becomes more than a hundred bytes of objects, so the bytes on the wire say little.
 */
public final class HeadSize {

  /**
   * Heap of a header line beside its characters, in bytes: an entry, two texts and their arrays.
   */
  public static final int LINE_BYTES = 160;

  /** Heap of an item of a list, in bytes: lists in values are taken apart while a request runs. */
  private static final int ITEM_BYTES = 120;

  private HeadSize() {}

  /**
   * Returns the size of a head, in bytes.
   *
   * @param wireBytes bytes of the head as received
   * @param lines number of its lines
   */
  public static int of(int wireBytes, int lines) {
    return wireBytes + lines * LINE_BYTES;
  }

  /** Returns the size of the complete head of a request, in bytes. */
  public static int of(HttpRequest head) {
    return head.uri().length() + LINE_BYTES + of(head.headers());
  }

  /** Returns the size of the complete head of an answer, in bytes. */
  public static int of(HttpResponse head) {
    return LINE_BYTES + of(head.headers());
  }

  private static int of(HttpHeaders headers) {
    int bytes = 0;
    for (Map.Entry<String, String> line : headers) {
      String value = line.getValue();
      bytes += LINE_BYTES + line.getKey().length() + value.length() + itemBytes(value);
    }
    return bytes;
  }

  private static int itemBytes(String value) {
    int bytes = 0;
    for (int comma = value.indexOf(','); comma >= 0; comma = value.indexOf(',', comma + 1)) {
      bytes += ITEM_BYTES;
    }
    return bytes;
  }
}
