package org.skylarkfork.runtime.transport;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Identity of this daemon, its addresses and the limits of the transport.
 *
 * @param node name of this daemon
 * @param cluster name of the cluster; daemons of other clusters are refused
 * @param incarnation incarnation number of this process, higher at each start
 * @param host IP address to listen on, also the local address of outgoing connections
 * @param port port to listen on; 0 selects a free port
 * @param limits sizes and timeouts
 * @param tls files for mutual TLS, or null for connections without TLS
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
   * Sizes and timeouts.
   *
   * @param maxFrameBytes maximum size in bytes of a sent or received frame
   * @param maxQueueBytes maximum size in bytes of the frames queued for one peer
   * @param connectTimeout maximum time to open a connection
   * @param keepAliveInterval time without a frame after which a keep-alive frame is sent
   * @param silenceTimeout time without any frame after which a connection is lost, welcomed or not
   * @param idleTimeout time without a message after which an outgoing connection is closed normally
   * @param minBackoff backoff after the first failed connection attempt
   * @param maxBackoff maximum backoff; it doubles with each failure up to this value
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

    /** Limits for daemons whose latency to each other is a few milliseconds. */
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

    /** Checks that the sizes are positive and the keep-alive interval is below the timeout. */
    public Limits {
      if (maxFrameBytes <= 0 || maxQueueBytes <= 0) {
        throw new IllegalArgumentException(
            "maxFrameBytes and maxQueueBytes must be positive; raise them");
      }
      if (keepAliveInterval.compareTo(silenceTimeout) >= 0) {
        throw new IllegalArgumentException(
            "keepAliveInterval must be shorter than silenceTimeout; lower it");
      }
    }
  }
}
