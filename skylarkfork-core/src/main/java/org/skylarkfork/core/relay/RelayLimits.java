package org.skylarkfork.core.relay;

/**
 * Bounds on what callers send.
 *
 * @param maxHeaderBytes longest head of a request in bytes
 * @param maxBodyBytes longest body in bytes
 * @param headerTimeoutMillis longest time that a head may take, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record RelayLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /** Limits until a configuration is known: 16 KiB, 4 MiB, 3 s and 15 s, usual for proxies. */
  public static final RelayLimits DEFAULT = new RelayLimits(16_384, 4_194_304, 3_000, 15_000);
}
