package org.skylarkfork.runtime.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.relay.ForwardDecision;
import org.skylarkfork.runtime.transport.ForwardResult;
import org.skylarkfork.runtime.transport.ForwardTargets;

/** Opens connections to upstreams for other entries. */
final class UpstreamForwarding implements ForwardTargets {

  /** Shorter than the time for which the other entry waits for this one. */
  private static final int CONNECT_TIMEOUT_MILLIS = 500;

  private final Bootstrap bootstrap;
  private final UpstreamConnector connector;
  private final Function<String, ForwardDecision> decisions;
  private final BiConsumer<String, ConnectOutcome> observer;

  /**
   * Creates the forwarding.
   *
   * @param loop event loop of the connections
   * @param connector opens connections over the VM's own links
   * @param decisions decides whether a connection to an address is opened
   * @param observer receives the address and the outcome of each connection
   */
  UpstreamForwarding(
      EventLoop loop,
      UpstreamConnector connector,
      Function<String, ForwardDecision> decisions,
      BiConsumer<String, ConnectOutcome> observer) {
    this.observer = observer;
    this.connector = connector;
    this.decisions = decisions;
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.AUTO_READ, false)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
  }

  @Override
  public void open(String target, Consumer<Opened> receiver) {
    InetSocketAddress address = UpstreamAddress.parse(target);
    ForwardDecision decision = address == null ? ForwardDecision.REJECTED : decisions.apply(target);
    if (address == null || decision != ForwardDecision.ALLOWED) {
      receiver.accept(Opened.failed(resultOf(decision)));
      return;
    }
    connect(target, address, receiver);
  }

  private static ForwardResult resultOf(ForwardDecision decision) {
    return decision == ForwardDecision.UNUSABLE ? ForwardResult.UNUSABLE : ForwardResult.REJECTED;
  }

  private void connect(String target, InetSocketAddress address, Consumer<Opened> receiver) {
    ChannelHolder holder = new ChannelHolder();
    connector
        .connect(bootstrap.clone().handler(holder), address)
        .addListener(
            done -> {
              observer.accept(
                  target,
                  done.isSuccess() ? ConnectOutcome.OPENED : ConnectOutcome.UPSTREAM_UNREACHABLE);
              Channel channel = holder.channel;
              if (done.isSuccess() && channel != null) {
                onOpened(target, channel, receiver);
              } else {
                receiver.accept(Opened.failed(ForwardResult.UNREACHABLE));
              }
            });
  }

  /** Decides again, since the upstream may have asked for a backoff while the connection opened. */
  private void onOpened(String target, Channel channel, Consumer<Opened> receiver) {
    ForwardDecision decision = decisions.apply(target);
    if (decision == ForwardDecision.ALLOWED) {
      receiver.accept(new Opened(ForwardResult.OPENED, channel));
    } else {
      channel.close();
      receiver.accept(Opened.failed(resultOf(decision)));
    }
  }

  /** Keeps the channel of a connection that is being opened. */
  private static final class ChannelHolder extends ChannelInitializer<Channel> {
    private @Nullable Channel channel;

    @Override
    protected void initChannel(Channel created) {
      channel = created;
    }
  }
}
