package org.skylarkfork.core.relay;

/** How an attempt at an upstream failed. */
public enum AttemptFailure {
  /** No connection could be made; nothing was sent. */
  NOT_SENT(false),
  /** The connection was lost after the request was sent and before an answer came. */
  NO_ANSWER(true),
  /** The bytes that came are no answer to this request. */
  NOT_AN_ANSWER(true),
  /** The answer broke off. */
  BROKEN_OFF(true);

  private final boolean mayHaveRun;

  AttemptFailure(boolean mayHaveRun) {
    this.mayHaveRun = mayHaveRun;
  }

  /** Returns whether the upstream may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }
}
