package org.skylarkfork.standin.measure.daemon;

import org.skylarkfork.core.request.CallerRequest;

/**
 * One request that a run sends, the same for each policy.
 *
 * @param atMicros when it is sent, in microseconds after the run's begin
 * @param request the request
 * @param team name of its team
 * @param kind what it asks for
 * @param burst whether it belongs to a burst
 * @param difficulty how hard its draft is, from 0 to 1; hidden from the daemon
 * @param tokens length of its draft in tokens; hidden from the daemon
 */
record Ask(
    long atMicros,
    CallerRequest request,
    String team,
    Flow.Kind kind,
    boolean burst,
    double difficulty,
    int tokens) {

  boolean isDraft() {
    return request.kind().isDraft();
  }

  /** Returns the rating that its answer is to reach. */
  double target() {
    return kind == Flow.Kind.SESSION_DRAFT
        ? MeasuredConfiguration.SESSION_TARGET
        : MeasuredConfiguration.TARGET;
  }

  /** Returns the key under which it is billed. */
  String billingKey() {
    String key = request.idempotencyKey();
    return key == null ? request.requestId() : key;
  }
}
