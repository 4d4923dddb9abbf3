package org.skylarkfork.runtime.http;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads a request's whole body within a bound of size and time. */
final class BodyReader {

  private final int maxBytes;
  private final Duration timeout;

  /**
   * Makes a reader.
   *
   * @param maxBytes longest body
   * @param timeout longest time for the whole body to arrive
   */
  BodyReader(int maxBytes, Duration timeout) {
    this.maxBytes = maxBytes;
    this.timeout = timeout;
  }

  /** Reads the body; fails with {@code BadRequestException} past a bound. */
  Mono<byte[]> read(HttpServerRequest request) {
    String declared = request.requestHeaders().get("Content-Length");
    if (declared != null && exceeds(declared)) {
      return Mono.error(tooLarge());
    }
    return BoundedBody.collect(request.receive(), maxBytes, this::tooLarge)
        .timeout(timeout)
        .onErrorMap(TimeoutException.class, late -> tooSlow());
  }

  private boolean exceeds(String declared) {
    try {
      return Long.parseLong(declared) > maxBytes;
    } catch (NumberFormatException malformed) {
      return true;
    }
  }

  private BadRequestException tooLarge() {
    return new BadRequestException(
        RoutingError.notRun(
            ErrorKind.TOO_LARGE,
            "The body is longer than " + maxBytes + " bytes. Send a shorter one."));
  }

  private BadRequestException tooSlow() {
    return new BadRequestException(
        RoutingError.notRun(
            ErrorKind.BAD_REQUEST,
            "The body did not arrive within "
                + timeout.toMillis()
                + " ms. Send it faster or in a shorter form."));
  }
}
