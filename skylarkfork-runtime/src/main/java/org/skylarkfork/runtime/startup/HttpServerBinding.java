package org.skylarkfork.runtime.startup;

import java.net.InetSocketAddress;
import java.time.Duration;
import reactor.netty.ChannelBindException;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.util.retry.Retry;

/** Binds Reactor Netty's servers, and tries again while their address is in use. */
public final class HttpServerBinding {

  private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);

  private HttpServerBinding() {}

  /**
   * Binds a server and waits for it.
   *
   * @param server the server
   * @param host IP number to listen on
   * @param port port to listen on, or 0 for a free one
   * @return the bound server
   * @throws ChannelBindException if the address can't be used for {@link BindRetry#MAX_WAIT}
   */
  public static DisposableServer bind(HttpServer server, String host, int port) {
    InetSocketAddress address = new InetSocketAddress(host, port);
    BindRetry retry = new BindRetry(BindRetry.MAX_WAIT, System.nanoTime());
    DisposableServer bound =
        server
            .bindAddress(() -> address)
            .bind()
            .retryWhen(
                Retry.fixedDelay(Long.MAX_VALUE, RETRY_INTERVAL)
                    .filter(failure -> shouldRetry(retry, address, failure)))
            .block();
    if (bound == null) {
      throw new IllegalStateException("no server was bound to " + address);
    }
    retry.onBound(address, System.nanoTime());
    return bound;
  }

  private static boolean shouldRetry(
      BindRetry retry, InetSocketAddress address, Throwable failure) {
    return failure instanceof ChannelBindException
        && retry.shouldRetry(address, failure, System.nanoTime());
  }
}
