package org.skylarkfork.core.relay;

/** Reason for which an entry rejects or fails a request without an upstream's answer. */
public enum Refusal {
  /** The request has no key, or a key of no team. */
  UNKNOWN_KEY,
  /** No route matches. */
  NO_ROUTE,
  /** The entry is not ready to serve; the request has not run. */
  NOT_SERVING,
  /**
   * The entry is shutting down and could not complete the request in time; the request has not run.
   */
  STOPPING,
  /**
   * The request is quarantined because upstreams that ran the same request crashed; it is not sent
   * to any upstream.
   */
  QUARANTINED,
  /** No upstream accepted the request; it has not run. */
  NO_UPSTREAM,
  /** The queues at the upstreams are longer than the caller's timeout; the request has not run. */
  OVERLOADED,
  /** The deadline passed before the request was sent; it has not run. */
  TOO_LATE,
  /** The upstream gave no complete answer; the request may have run. */
  OUTCOME_UNKNOWN,
  /** The deadline passed while an upstream was running the request; it may have run. */
  TIME_OUT
}
