package org.skylarkfork.runtime.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Recognizes heads that the decoder has joined from a cut head and the head of the answer after it.
 */
public final class JoinedHeads {

  private static final String VERSION = "HTTP/1.";

  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [1-5][0-9][0-9]");

  private JoinedHeads() {}

  /**
   * Returns whether a head contains a second status line or request id.
   *
   * @param head the head
   * @param requestIdHeader name of the header of the request id
   */
  public static boolean isJoined(HttpResponse head, String requestIdHeader) {
    return hasStatusLine(head.status().reasonPhrase())
        || head.headers().getAll(requestIdHeader).size() > 1
        || head.headers().entries().stream().anyMatch(JoinedHeads::hasStatusLine);
  }

  /** A name can't contain a blank, so the status code is not part of it. */
  private static boolean hasStatusLine(Map.Entry<String, String> header) {
    return header.getKey().contains(VERSION) || hasStatusLine(header.getValue());
  }

  private static boolean hasStatusLine(String text) {
    return text.contains(VERSION) && STATUS_LINE.matcher(text).find();
  }
}
