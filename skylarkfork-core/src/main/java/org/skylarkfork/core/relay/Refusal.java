package org.skylarkfork.core.relay;

/** Why an entry ends a request by itself. */
public enum Refusal {
  /** No key, or one that no team holds. */
  UNKNOWN_KEY,
  /** No route matches. */
  NO_ROUTE,
  /** This entry can't serve now; the request has not run. */
  NOT_SERVING,
  /** This entry stops and could not end the request in time; the request has not run. */
  STOPPING,
  /** Upstreams that ran the same request have ended; it is sent to none, now or later. */
  QUARANTINED,
  /** No upstream took the request; it has not run. */
  NO_UPSTREAM,
  /** What is ahead of it at the upstreams takes longer than the caller waits; it has not run. */
  OVERLOADED,
  /** The time was up before the request could be sent; it has not run. */
  TOO_LATE,
  /** The upstream gave no whole answer; the request may have run. */
  OUTCOME_UNKNOWN,
  /** The time was up while an upstream worked on it; the request may have run. */
  TIME_OUT
}
