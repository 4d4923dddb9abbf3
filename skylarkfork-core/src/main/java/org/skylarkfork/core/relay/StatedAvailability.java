package org.skylarkfork.core.relay;

/** What one run of an upstream has stated to this entry about the requests that it accepts. */
final class StatedAvailability {

  private final RequestedBackoff backoff = new RequestedBackoff();
  private boolean leaving;

  /** Returns the time for which the upstream has asked this entry to send nothing. */
  RequestedBackoff backoff() {
    return backoff;
  }

  /** Returns whether the upstream has stated that it is leaving. */
  boolean isLeaving() {
    return leaving;
  }

  /** Records that the upstream has stated that it is leaving. */
  void markLeaving() {
    leaving = true;
  }
}
