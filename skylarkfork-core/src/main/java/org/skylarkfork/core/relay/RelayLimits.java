package org.skylarkfork.core.relay;

/**
 * Limits on callers' requests and connections.
 *
 * @param maxHeaderBytes maximum size of a request's head, in bytes
 * @param maxBodyBytes maximum size of a request's body, in bytes
 * @param headerTimeoutMillis maximum time to receive a request's head, in milliseconds
 * @param idleTimeoutMillis time after which an idle connection is closed, in milliseconds
 */
public record RelayLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMillis, int idleTimeoutMillis) {

  /**
   * Limits in use until a configuration is known: 16 KiB, 4 MiB, 3 s and 15 s, as is common for
   * proxies.
   */
  public static final RelayLimits DEFAULT = new RelayLimits(16_384, 4_194_304, 3_000, 15_000);

  /** Returns whether each limit is above 0, as configurations must set them. */
  public boolean isUsable() {
    return maxHeaderBytes > 0
        && maxBodyBytes > 0
        && headerTimeoutMillis > 0
        && idleTimeoutMillis > 0;
  }

  /**
   * Returns these limits with the default in place of each that isn't above 0, for configurations
   * that were stored before they had to be. An entry would take no connection by them.
   */
  public RelayLimits orDefaults() {
    return isUsable()
        ? this
        : new RelayLimits(
            aboveZero(maxHeaderBytes, DEFAULT.maxHeaderBytes),
            aboveZero(maxBodyBytes, DEFAULT.maxBodyBytes),
            aboveZero(headerTimeoutMillis, DEFAULT.headerTimeoutMillis),
            aboveZero(idleTimeoutMillis, DEFAULT.idleTimeoutMillis));
  }

  private static int aboveZero(int limit, int defaultLimit) {
    return limit > 0 ? limit : defaultLimit;
  }
}
