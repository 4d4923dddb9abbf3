package org.skylarkfork.core.recovery;

/**
 * Limits how many requests wait.
 *
 * @param maxRequests maximum number of requests
 * @param maxBodyBytes maximum size of the bodies of all requests together, in bytes
 */
public record QueueBounds(int maxRequests, long maxBodyBytes) {

  /**
   * Bounds of an entry. An entry has at least 290 MB; with bodies of 10 kB each, the requests take
   * 5 MB.
   */
  public static final QueueBounds DEFAULT = new QueueBounds(512, 16_000_000);

  /** Returns whether a further request fits. */
  boolean allows(int requests, long bodyBytes, int furtherBodyBytes) {
    return requests < maxRequests && bodyBytes + furtherBodyBytes <= maxBodyBytes;
  }
}
