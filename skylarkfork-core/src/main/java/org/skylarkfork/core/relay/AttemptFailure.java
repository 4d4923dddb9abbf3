package org.skylarkfork.core.relay;

/** How an attempt at an upstream failed. */
public enum AttemptFailure {
  /** No connection could be made; nothing was sent. */
  NOT_SENT(false, false),
  /** The connection was lost after the request was sent and before an answer came. */
  NO_ANSWER(true, true),
  /**
   * A kept connection was closed under the request before an answer came, as the upstream had
   * already given it up; says nothing of the upstream itself.
   */
  STALE_CONNECTION(true, false),
  /** The bytes that came are no answer to this request. */
  NOT_AN_ANSWER(true, true),
  /** The answer broke off. */
  BROKEN_OFF(true, true);

  private final boolean mayHaveRun;
  private final boolean countsAgainstVersion;

  AttemptFailure(boolean mayHaveRun, boolean blamesVersion) {
    this.mayHaveRun = mayHaveRun;
    this.countsAgainstVersion = blamesVersion;
  }

  /** Returns whether the upstream may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether it counts against the version that the upstream runs. */
  public boolean countsAgainstVersion() {
    return countsAgainstVersion;
  }
}
