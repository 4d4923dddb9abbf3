package org.skylarkfork.core.membership;

/** Status of a daemon in the view of the others; for equal numbers the later constant overrides. */
public enum MemberStatus {
  /** It answers probes. */
  ALIVE,
  /** It did not answer a probe and may still refute the suspicion. */
  SUSPECTED,
  /** It did not refute the suspicion in time. */
  DEAD,
  /** It announced its own end. */
  LEFT;

  /** Returns whether the daemon is considered live. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECTED;
  }
}
