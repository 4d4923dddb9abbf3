package org.skylarkfork.runtime.http;

import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.SignalType;
import reactor.netty.Connection;
import reactor.netty.http.client.HttpClient;

/**
 * Closes the connection of one HTTP exchange if the exchange is cancelled.
 *
 * <p>The HTTP library drops an answer that begins while its exchange is cancelled, and leaves the
 * connection open: the upstream would work on, and the pool would lose a connection.
 */
public final class ExchangeConnection {

  private volatile @Nullable Connection connection;

  /**
   * Notes which connection a client uses.
   *
   * @param client sends the request of this exchange, and no other
   * @return the client to send it with
   */
  public HttpClient observed(HttpClient client) {
    return client.doOnRequest((request, used) -> uses(used));
  }

  /**
   * Closes the connection when the answer is cancelled.
   *
   * @param answer the answer of this exchange
   * @return the same answer
   */
  public <T> Flux<T> closedOnCancel(Flux<T> answer) {
    return answer.doFinally(this::ended);
  }

  /**
   * Closes the connection when the answer is cancelled.
   *
   * @param answer the answer of this exchange
   * @return the same answer
   */
  public <T> Mono<T> closedOnCancel(Mono<T> answer) {
    return answer.doFinally(this::ended);
  }

  void uses(Connection used) {
    connection = used;
  }

  private void ended(SignalType signal) {
    Connection used = connection;
    if (signal == SignalType.CANCEL && used != null) {
      used.channel().eventLoop().execute(() -> closeUnlessReturned(used));
    }
  }

  /** Spares a connection that has gone back to its pool: another exchange may use it by now. */
  private static void closeUnlessReturned(Connection used) {
    Channel channel = used.channel();
    if (Connection.from(channel) == used) {
      channel.close();
    }
  }
}
