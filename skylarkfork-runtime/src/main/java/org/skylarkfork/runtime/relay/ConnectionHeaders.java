package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Headers that concern one connection only and are never passed on. */
public final class ConnectionHeaders {

  private static final List<CharSequence> NAMES =
      List.of(
          HttpHeaderNames.CONNECTION,
          "Keep-Alive",
          "Proxy-Connection",
          HttpHeaderNames.PROXY_AUTHENTICATE,
          HttpHeaderNames.PROXY_AUTHORIZATION,
          HttpHeaderNames.TE,
          HttpHeaderNames.TRAILER,
          HttpHeaderNames.TRANSFER_ENCODING,
          HttpHeaderNames.UPGRADE,
          HttpHeaderNames.EXPECT);

  private ConnectionHeaders() {}

  /** Removes them, with those that the headers themselves declare as such. */
  public static void remove(HttpHeaders headers) {
    for (String declared : headers.getAll(HttpHeaderNames.CONNECTION)) {
      for (String name : declared.split(",")) {
        String trimmed = name.trim();
        if (!trimmed.isEmpty() && !"close".equalsIgnoreCase(trimmed)) {
          headers.remove(trimmed);
        }
      }
    }
    NAMES.forEach(headers::remove);
  }
}
