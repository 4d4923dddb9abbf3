package org.skylarkfork.core.relay;

/** What a route's requests allow. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run at most once for each request of a caller. */
  NON_IDEMPOTENT,
  /** Answered by a series of events; may run again only where the route can be resumed. */
  STREAMING
}
