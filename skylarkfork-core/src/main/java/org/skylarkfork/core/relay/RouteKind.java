package org.skylarkfork.core.relay;

/** Kind of a route's requests, which determines whether they may run again. */
public enum RouteKind {
  /** May run more than once. */
  IDEMPOTENT,
  /** May run at most once for each request of a caller. */
  NON_IDEMPOTENT,
  /** Answered by an event stream; may run again only if the route is resumable. */
  STREAMING
}
