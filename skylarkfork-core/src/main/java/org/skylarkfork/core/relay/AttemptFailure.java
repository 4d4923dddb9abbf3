package org.skylarkfork.core.relay;

/** How an attempt at an upstream failed. */
public enum AttemptFailure {
  /** No connection could be established; nothing was sent. */
  NOT_SENT(false, false),
  /**
   * The attempt was withdrawn while it waited for a connection, because its upstream asked for no
   * more requests; nothing was sent.
   */
  RECALLED(false, false),
  /**
   * The entry that was to open the connection can't; nothing was sent, and nothing is known about
   * the upstream.
   */
  NOT_FORWARDED(false, false),
  /**
   * The entry that was to open the connection may send nothing to the upstream for now; nothing was
   * sent.
   */
  FORWARD_REJECTED(false, false),
  /** This entry couldn't build the request; nothing was sent, and the upstream isn't to blame. */
  UNSENDABLE(false, false),
  /** The connection was lost after the request was sent and before an answer came. */
  NO_ANSWER(true, true),
  /**
   * A pooled connection was closed before an answer came, because the upstream had already closed
   * it as idle; this doesn't indicate a fault of the upstream.
   */
  STALE_CONNECTION(true, false),
  /** The received bytes are not an answer of the protocol. */
  NOT_AN_ANSWER(true, true),
  /** The head of the answer was joined from a cut head and another one. */
  JOINED_HEADS(true, true),
  /** The answer names no request, on a connection that had carried other requests. */
  UNATTRIBUTED_ANSWER(true, true),
  /** The answer is a success without the upstream's signature. */
  UNSIGNED_SUCCESS(true, true),
  /** Another answer begins inside the body of the answer. */
  SECOND_ANSWER(true, true),
  /** More answers to other requests came than are skipped on a connection. */
  FOREIGN_ANSWERS(true, true),
  /** The answer ended before it was complete. */
  BROKEN_OFF(true, true),
  /** The upstream sent more bytes than an answer, an event, or what comes beside them may have. */
  ANSWER_TOO_LONG(true, true),
  /**
   * The entry's buffers of answers were full, and this answer was the largest; others may have
   * filled them.
   */
  BUFFERS_FULL(true, false);

  private final boolean mayHaveRun;
  private final boolean countsAgainstVersion;

  AttemptFailure(boolean mayHaveRun, boolean blamesVersion) {
    this.mayHaveRun = mayHaveRun;
    this.countsAgainstVersion = blamesVersion;
  }

  /** Returns whether nothing was sent to the upstream. */
  public boolean isUnsent() {
    return !mayHaveRun;
  }

  /** Returns whether the upstream may have run the request. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns whether the upstream may have ended while it ran the request. */
  public boolean mayBeCrash() {
    return switch (this) {
      // An upstream that answers twice goes on running.
      case JOINED_HEADS, UNATTRIBUTED_ANSWER, SECOND_ANSWER, FOREIGN_ANSWERS, BUFFERS_FULL -> false;
      default -> mayHaveRun;
    };
  }

  /** Returns whether the failure counts against the version that the upstream runs. */
  public boolean countsAgainstVersion() {
    return countsAgainstVersion;
  }
}
