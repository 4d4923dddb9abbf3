package org.skylarkfork.core.membership;

/** What the others hold of a daemon; for equal numbers the later constant prevails. */
public enum MemberStatus {
  /** It answers. */
  ALIVE,
  /** It did not answer somebody and has some time left to refute that it is dead. */
  SUSPECTED,
  /** It did not refute in time. */
  DEAD,
  /** It said itself that it ends. */
  LEFT;

  /** Returns whether the daemon counts as there. */
  public boolean isLive() {
    return this == ALIVE || this == SUSPECTED;
  }
}
