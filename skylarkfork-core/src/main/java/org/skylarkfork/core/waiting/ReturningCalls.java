package org.skylarkfork.core.waiting;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The refused or failed calls of one service that are expected back. A call that returns at the
 * time that its caller was given goes ahead of others of its rank and team, so that the time is
 * true.
 */
final class ReturningCalls {

  /** Maximum number of remembered calls. */
  private static final int MAX_CALLS = 1024;

  /** Time after the retry time for which a call is remembered, in milliseconds. */
  private static final long RETENTION_MILLIS = 2000;

  /**
   * Time after the retry time at which a caller that hasn't returned isn't waited for any more, in
   * milliseconds: a new connection and two transfers between availability zones.
   */
  private static final long LATE_MILLIS = 50;

  private final Map<Key, Expected> expectedCalls = new LinkedHashMap<>();

  /** Identifies a call that its caller sends again. */
  private record Key(String team, long contentKey) {}

  private record Expected(long retryAtMillis, int rank, boolean isPromised) {}

  /** Remembers a refused call whose caller was given a retry time. */
  void rememberRefused(SlotCall call, long retryAtMillis) {
    remember(call, new Expected(retryAtMillis, call.ask.rank(), true));
  }

  /** Remembers a call whose attempt failed, so that its retry needn't wait a second time. */
  void rememberFailed(SlotCall call, long nowMillis) {
    remember(call, new Expected(nowMillis, call.ask.rank(), false));
  }

  private void remember(SlotCall call, Expected expected) {
    Key key = new Key(call.ask.team(), call.ask.contentKey());
    expectedCalls.remove(key);
    expectedCalls.put(key, expected);
    if (expectedCalls.size() > MAX_CALLS) {
      expectedCalls.remove(expectedCalls.keySet().iterator().next());
    }
  }

  /**
   * Forgets a call that is sent again; returns whether it goes ahead of others. A caller that
   * returns before its retry time gets no precedence, else ignoring the time would pay.
   */
  boolean claim(String team, long contentKey, long nowMillis) {
    Expected expected = expectedCalls.remove(new Key(team, contentKey));
    return expected != null
        && nowMillis >= expected.retryAtMillis()
        && nowMillis <= expected.retryAtMillis() + RETENTION_MILLIS;
  }

  /**
   * Returns how many callers that were given a retry time up to a limit are still expected and go
   * ahead of a call: those of more urgent ranks, and those of its rank and team.
   *
   * @param team team of the call
   * @param rank rank of the call
   * @param nowMillis the present time, in milliseconds since 1970
   * @param untilMillis retry time up to which calls count, in milliseconds since 1970
   */
  int expected(String team, int rank, long nowMillis, long untilMillis) {
    int count = 0;
    for (Map.Entry<Key, Expected> entry : expectedCalls.entrySet()) {
      Expected expected = entry.getValue();
      long retryAt = expected.retryAtMillis();
      boolean isDue = retryAt + LATE_MILLIS >= nowMillis && retryAt <= untilMillis;
      boolean goesAhead =
          expected.rank() < rank || expected.rank() == rank && entry.getKey().team().equals(team);
      count += isDue && expected.isPromised() && goesAhead ? 1 : 0;
    }
    return count;
  }

  /** Removes calls that didn't return. */
  void removeExpired(long nowMillis) {
    expectedCalls
        .values()
        .removeIf(expected -> nowMillis > expected.retryAtMillis() + RETENTION_MILLIS);
  }

  int size() {
    return expectedCalls.size();
  }
}
