package org.skylarkfork.runtime.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.handler.ssl.NotSslRecordException;
import io.netty.handler.ssl.SslHandler;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import javax.net.ssl.SSLException;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.codec.CodecException;
import org.tinylog.Logger;

/** Settings, codec and counters shared by all connections of one transport. */
final class PeerContext {

  private static final String TLS_HANDLER = "peer.tls";
  private static final String ERROR_HANDLER = "peer.errors";
  private static final String FRAME_HANDLER = "peer.frames";

  final TransportSettings settings;
  final PeerFilter filter;
  final TransportCounters counters = new TransportCounters();
  final @Nullable TlsContexts tls;
  private final BinaryCodec codec;
  private final Consumer<Event> events;
  private final AtomicLong lastWarningAt = new AtomicLong(System.nanoTime() - secondsOf(2));

  PeerContext(
      TransportSettings settings, BinaryCodec codec, Consumer<Event> events, PeerFilter filter) {
    this.settings = settings;
    this.codec = codec;
    this.events = events;
    this.filter = filter;
    this.tls = settings.tls() == null ? null : new TlsContexts(settings.tls());
  }

  /** Installs the TLS, frame and error handlers of a new connection. */
  void prepare(Channel channel, boolean accepted) {
    channel.pipeline().addFirst(ERROR_HANDLER, new DecodeErrorHandler(this));
    channel.pipeline().addFirst(FRAME_HANDLER, new FrameDecoder(settings.limits().maxFrameBytes()));
    if (tls != null) {
      SslHandler handler = accepted ? tls.forServer(channel) : tls.forClient(channel);
      channel.pipeline().addFirst(TLS_HANDLER, handler);
    }
  }

  /** Adds a handler that receives frames ahead of the handlers that are already installed. */
  void addAfterFrames(Channel channel, ChannelHandler handler) {
    channel.pipeline().addAfter(ERROR_HANDLER, null, handler);
  }

  /** Removes the handlers of frames; the channel then carries plain bytes. */
  void removeFrameHandlers(Channel channel) {
    channel.pipeline().remove(ERROR_HANDLER);
    channel.pipeline().remove(FRAME_HANDLER);
  }

  /** Returns whether the peer's certificate has the node's name; always true without TLS. */
  boolean hasCertificateOf(Channel channel, String node) {
    if (tls == null) {
      return true;
    }
    SslHandler handler = (SslHandler) channel.pipeline().get(TLS_HANDLER);
    return handler != null && node.equals(TlsContexts.commonName(handler));
  }

  byte[] handshake(Handshake handshake) {
    return new Frame(Frame.Kind.HANDSHAKE, codec.toBytes(handshake)).toBytes();
  }

  byte[] message(PeerMessage message) {
    return new Frame(Frame.Kind.MESSAGE, codec.toBytes(message)).toBytes();
  }

  /** Returns a frame without payload. */
  static byte[] emptyFrame(Frame.Kind kind) {
    return new Frame(kind, new byte[0]).toBytes();
  }

  /**
   * Decodes a handshake.
   *
   * @throws TransportException if the frame isn't a valid handshake
   */
  Handshake readHandshake(Frame frame) {
    if (frame.kind() != Frame.Kind.HANDSHAKE) {
      throw new TransportException(
          TransportException.Kind.BAD_FRAME, "a " + frame.kind() + " before the greeting", null);
    }
    try {
      return codec.fromBytes(frame.payload(), Handshake.class);
    } catch (CodecException e) {
      throw new TransportException(TransportException.Kind.BAD_FRAME, e.getMessage(), e);
    }
  }

  /**
   * Passes a message to the reducer. A message of an unknown type is skipped, since a newer version
   * may have sent it.
   *
   * @throws TransportException if the payload isn't a message
   */
  void deliver(String node, Frame frame) {
    try {
      PeerMessage message = codec.fromBytes(frame.payload(), PeerMessage.class);
      counters.received.increment();
      events.accept(new PeerEvent.MessageReceived(node, message));
    } catch (CodecException e) {
      if (e.kind() != CodecException.Kind.UNKNOWN_TYPE) {
        throw new TransportException(TransportException.Kind.BAD_FRAME, e.getMessage(), e);
      }
      counters.unknownMessages.increment();
      warnRateLimited("peer: skipped a message from {}: {}", node, e.getMessage());
    }
  }

  /** Counts, logs and reports the loss of a greeted connection. */
  void reportLost(String node, String detail) {
    counters.lost.increment();
    Logger.info("peer: lost {}: {}", node, detail);
    events.accept(new PeerEvent.ConnectionLost(node));
  }

  /** Counts and logs a TLS or protocol error of a connection; ignores other errors. */
  void recordFailure(String peer, Throwable error) {
    Throwable cause = error;
    while (cause != null
        && !(cause instanceof SSLException || cause instanceof TransportException)) {
      cause = cause.getCause();
    }
    if (cause == null) {
      return;
    }
    boolean untrusted = cause instanceof SSLException && !(cause instanceof NotSslRecordException);
    boolean rejected =
        cause instanceof TransportException typed
            && typed.kind() == TransportException.Kind.REFUSED;
    (untrusted || rejected ? counters.refused : counters.malformed).increment();
    warnRateLimited("peer: dropped the connection of {}: {}", peer, cause.getMessage());
  }

  /** Logs at most one warning per second, so that an untrusted peer can't fill the disk. */
  void warnRateLimited(String text, String peer, @Nullable String detail) {
    long now = System.nanoTime();
    long last = lastWarningAt.get();
    if (now - last > secondsOf(1) && lastWarningAt.compareAndSet(last, now)) {
      Logger.warn(text, peer, printable(detail));
    }
  }

  private static String printable(@Nullable String text) {
    return text == null ? "" : text.replaceAll("\\p{Cntrl}", "?");
  }

  private static long secondsOf(long seconds) {
    return TimeUnit.SECONDS.toNanos(seconds);
  }
}
