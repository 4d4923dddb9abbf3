package org.skylarkfork.runtime.http;

import java.time.Duration;

/**
 * Bounds of the HTTP listeners.
 *
 * @param host IP number to listen on
 * @param port port to listen on; 0 for a free one
 * @param maxLineBytes longest request line
 * @param maxHeaderBytes most bytes of all headers
 * @param maxBodyBytes longest body
 * @param bodyTimeout longest time for a whole body to arrive, and for the headers before it
 * @param idleTimeout longest time that a connection without a request stays open
 * @param defaultDeadline deadline of a request that names none
 */
public record HttpSettings(
    String host,
    int port,
    int maxLineBytes,
    int maxHeaderBytes,
    int maxBodyBytes,
    Duration bodyTimeout,
    Duration idleTimeout,
    Duration defaultDeadline) {

  /** Returns the usual bounds for a listener. */
  public static HttpSettings usual(String host, int port) {
    return new HttpSettings(
        host,
        port,
        8 * 1024,
        32 * 1024,
        4 * 1024 * 1024,
        Duration.ofSeconds(10),
        Duration.ofSeconds(60),
        Duration.ofSeconds(60));
  }
}
