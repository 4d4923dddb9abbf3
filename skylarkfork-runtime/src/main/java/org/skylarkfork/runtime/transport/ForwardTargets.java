package org.skylarkfork.runtime.transport;

import io.netty.channel.Channel;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Opens connections to the targets that peers name. */
public interface ForwardTargets {

  /** Opens no connections. */
  ForwardTargets NONE =
      (target, receiver) -> receiver.accept(Opened.failed(ForwardResult.UNUSABLE));

  /**
   * Opens a connection.
   *
   * @param target address that the peer named
   * @param receiver receives the result, on the event loop of the transport
   */
  void open(String target, Consumer<Opened> receiver);

  /**
   * A connection, or the reason why there is none.
   *
   * @param result the result
   * @param channel the connection, not yet reading; null unless it is open
   */
  record Opened(ForwardResult result, @Nullable Channel channel) {

    /** Creates the result of a connection that wasn't opened. */
    public static Opened failed(ForwardResult result) {
      return new Opened(result, null);
    }
  }
}
