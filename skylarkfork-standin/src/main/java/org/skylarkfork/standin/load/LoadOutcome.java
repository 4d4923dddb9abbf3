package org.skylarkfork.standin.load;

/** How a request of the stand-in caller ended, after its resends. */
public enum LoadOutcome {
  /** The whole answer to its own request. */
  WHOLE,
  /** An answer to another request. */
  FOREIGN,
  /** Less than the answer, though it ended as if whole. */
  CUT,
  /** More than the answer. */
  DOUBLED,
  /** Refused or broken off with an explicit error that says it did not run. */
  NOT_RUN,
  /** Refused or broken off with an explicit error that says it ran. */
  RAN,
  /** Refused or broken off with an explicit error that says that nobody knows. */
  UNKNOWN,
  /** The entry could not be reached or its connection broke. */
  CONNECTION_LOST
}
