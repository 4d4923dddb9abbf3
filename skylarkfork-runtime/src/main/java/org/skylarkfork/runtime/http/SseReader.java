package org.skylarkfork.runtime.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Cuts the bytes of a server-sent event stream into the data of its frames. */
final class SseReader {

  private static final int MAX_LINE_BYTES = 1024 * 1024;
  private static final String DATA = "data:";

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private int longestBytes;

  /**
   * Takes further bytes.
   *
   * @return the data lines that they complete, in order
   * @throws IllegalArgumentException if a line is over its bound
   */
  List<String> feed(byte[] bytes) {
    List<String> data = new ArrayList<>();
    for (byte one : bytes) {
      if (one == '\n') {
        endLine(data);
      } else if (line.size() >= MAX_LINE_BYTES) {
        throw new IllegalArgumentException("a line of the stream is over 1 MiB");
      } else {
        line.write(one);
      }
    }
    return data;
  }

  /** Returns the size of the longest line so far, for which there is room until the end. */
  int heldBytes() {
    return Math.max(longestBytes, line.size());
  }

  private void endLine(List<String> data) {
    String text = line.toString(StandardCharsets.UTF_8).strip();
    longestBytes = heldBytes();
    line.reset();
    if (text.startsWith(DATA)) {
      data.add(text.substring(DATA.length()).strip());
    }
  }
}
