package org.skylarkfork.runtime.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/** Hop-by-hop headers, which concern one connection only and are never forwarded. */
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

  /**
   * Removes the hop-by-hop headers, including those that the {@code Connection} header declares.
   */
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
