package org.skylarkfork.runtime.transport;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Who this daemon is towards others, and the limits it keeps.
 *
 * @param node name of this daemon
 * @param cluster name of the cluster; daemons of others are refused
 * @param incarnation number of this process, higher at each start
 * @param host IP number to listen on, also the local address of outgoing connections
 * @param port port to listen on; 0 for a free one
 * @param limits sizes and times
 * @param tls files for mutual TLS, or null for plain connections
 */
public record TransportSettings(
    String node,
    String cluster,
    long incarnation,
    String host,
    int port,
    Limits limits,
    @Nullable TlsFiles tls) {

  /**
   * Sizes and times.
   *
   * @param maxFrameBytes longest frame in bytes that is sent or taken
   * @param maxQueueBytes bytes that may wait for one peer
   * @param connectTimeout longest time until a connection is open
   * @param keepAliveInterval time after which an open connection is checked by a frame
   * @param silenceTimeout time without any frame after which a connection is lost, welcomed or not
   * @param idleTimeout time without a message after which an outgoing connection is closed in order
   * @param minBackoff wait after the first failed attempt to connect
   * @param maxBackoff wait that repeated failures approach by doubling
   */
  public record Limits(
      int maxFrameBytes,
      int maxQueueBytes,
      Duration connectTimeout,
      Duration keepAliveInterval,
      Duration silenceTimeout,
      Duration idleTimeout,
      Duration minBackoff,
      Duration maxBackoff) {

    /** Limits for daemons within a few milliseconds of each other. */
    public static final Limits DEFAULT =
        new Limits(
            8 << 20,
            16 << 20,
            Duration.ofSeconds(2),
            Duration.ofSeconds(5),
            Duration.ofSeconds(15),
            Duration.ofSeconds(60),
            Duration.ofMillis(50),
            Duration.ofSeconds(2));

    /** Checks that each limit is positive. */
    public Limits {
      if (maxFrameBytes <= 0 || maxQueueBytes <= 0) {
        throw new IllegalArgumentException("a size of the transport is not positive; raise it");
      }
      if (keepAliveInterval.compareTo(silenceTimeout) >= 0) {
        throw new IllegalArgumentException("keepAlive must be shorter than silence; lower it");
      }
    }
  }
}
