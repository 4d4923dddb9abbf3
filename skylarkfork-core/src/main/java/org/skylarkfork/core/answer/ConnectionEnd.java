package org.skylarkfork.core.answer;

/** How the connection of an answer ended. */
public enum ConnectionEnd {
  /** The connection was open when the answer ended. */
  OPEN,
  /** The upstream closed the connection after its last byte. */
  CLOSED_BY_UPSTREAM,
  /**
   * The connection was reset, or closed on this side, or ended with the entry that had opened it.
   * What the upstream would have sent is not known.
   */
  LOST
}
