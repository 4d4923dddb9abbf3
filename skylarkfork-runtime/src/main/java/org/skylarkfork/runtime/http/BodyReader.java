package org.skylarkfork.runtime.http;

import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.runtime.limits.RequestBuffers;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Schedulers;
import reactor.netty.http.server.HttpServerRequest;

/** Reads a request's whole body within a bound of size and time. */
final class BodyReader {

  /** Copies of a body that a request in progress holds: its bytes, its text and its prompt. */
  private static final int COPIES = 4;

  private static final long RETRY_MILLIS = 1000;

  private final int maxBytes;
  private final Duration timeout;
  private final RequestBuffers buffers;

  /**
   * Makes a reader.
   *
   * @param maxBytes longest body
   * @param timeout longest time for the whole body to arrive
   * @param buffers limits on the memory of all bodies of the listener
   */
  BodyReader(int maxBytes, Duration timeout, RequestBuffers buffers) {
    this.maxBytes = maxBytes;
    this.timeout = timeout;
    this.buffers = buffers;
  }

  /**
   * Reads the body and serves the request with it; fails with {@code BadRequestException} past a
   * bound, or while all bodies together take too much memory.
   *
   * @param serve serves the request; its memory counts until it ends
   */
  Mono<Void> read(HttpServerRequest request, Function<byte[], Mono<Void>> serve) {
    return Mono.defer(
        () -> {
          HeldBody held = new HeldBody();
          return read(request, held).flatMap(serve).doFinally(end -> buffers.remove(held));
        });
  }

  private Mono<byte[]> read(HttpServerRequest request, HeldBody held) {
    String declared = request.requestHeaders().get("Content-Length");
    if (declared != null && exceeds(declared)) {
      return Mono.error(tooLarge());
    }
    Mono<byte[]> body =
        BoundedBody.collect(
                request.receive(),
                maxBytes,
                this::tooLarge,
                bytes -> buffers.resize(held, COPIES * bytes))
            .timeout(timeout)
            .onErrorMap(TimeoutException.class, late -> tooSlow())
            .doOnNext(complete -> buffers.complete(held));
    return Mono.firstWithSignal(body, held.refusal());
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

  private static BadRequestException busy() {
    return new BadRequestException(
        RoutingError.notRunRetry(
            ErrorKind.NO_CAPACITY,
            "The bodies of all requests take too much memory. Use another entry.",
            RETRY_MILLIS));
  }

  /** A body that is being received. */
  private static final class HeldBody implements RequestBuffers.Holder {
    private final Sinks.Empty<byte[]> refused = Sinks.empty();

    private Mono<byte[]> refusal() {
      return refused.asMono();
    }

    /** Refuses on another thread, since the caller holds the lock of the limits. */
    @Override
    public void refuse() {
      Schedulers.parallel().schedule(() -> refused.tryEmitError(busy()));
    }
  }
}
