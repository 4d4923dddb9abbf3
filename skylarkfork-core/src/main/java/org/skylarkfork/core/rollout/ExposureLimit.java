package org.skylarkfork.core.rollout;

/**
 * Number of requests that a version may get before it has proved to be as good as the old one.
 *
 * @param share share of the service's requests from the order to the deadline
 * @param requests further requests, whatever the load
 */
public record ExposureLimit(double share, int requests) {

  /** Returns the number of requests that a version may get in a roll-out. */
  double allowed(double requestsPerMilli, long deadlineMillis) {
    return share * requestsPerMilli * Math.max(0, deadlineMillis) + requests;
  }
}
