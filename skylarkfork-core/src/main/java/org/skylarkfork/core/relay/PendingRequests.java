package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Requests that came before their entry could serve.
 *
 * <p>An entry that has just started, or a core that elects, is ready again within a second; a
 * caller that is refused instead comes back once at most and finds the same.
 */
final class PendingRequests {

  /**
   * Longest wait at an entry that has just started. After a crash of everything the entries are up
   * 1.2 s before they may serve; an engine answers in 0.2 s, so that a stream that waited this long
   * is still in time, and every other entry is as far.
   */
  private static final Duration STARTING = Duration.ofMillis(1500);

  /** Longest wait at an entry that served before. It may be cut off, and others may serve. */
  private static final Duration CUT_OFF = Duration.ofMillis(900);

  /** Share of a caller's time that its request waits here at the most; the rest is for the work. */
  private static final double LONGEST_SHARE = 0.8;

  /** Most requests that wait; a body of 10 kB each takes 5 MB. */
  private static final int MOST = 512;

  private final Map<Long, PendingRequest> waiting = new LinkedHashMap<>();

  /**
   * Keeps a request; returns whether there was room.
   *
   * @param request the request
   * @param starting whether the entry has not served since its start
   * @param now the present time
   */
  boolean hold(RelayRequest request, boolean starting, Instant now) {
    if (waiting.size() >= MOST) {
      return false;
    }
    Instant until = now.plus(longest(request, starting));
    waiting.put(request.number(), new PendingRequest(request, now, until));
    return true;
  }

  /** Forgets a request; returns whether it waited here. */
  boolean forget(long number) {
    return waiting.remove(number) != null;
  }

  /**
   * Hands out requests that need not or may not wait any longer.
   *
   * @param servable tells whether a request can be decided on now
   * @param now the present time
   */
  List<PendingRequest> release(Predicate<RelayRequest> servable, Instant now) {
    List<PendingRequest> released = new ArrayList<>();
    for (PendingRequest held : waiting.values()) {
      boolean tooLong = !now.isBefore(held.until());
      if (tooLong || servable.test(held.request())) {
        released.add(held);
      }
    }
    released.forEach(held -> waiting.remove(held.request().number()));
    return released;
  }

  private static Duration longest(RelayRequest request, boolean starting) {
    Duration usual = starting ? STARTING : CUT_OFF;
    long callerMillis = (long) (request.waitMillis() * LONGEST_SHARE);
    boolean shorter = callerMillis > 0 && callerMillis < usual.toMillis();
    return shorter ? Duration.ofMillis(callerMillis) : usual;
  }
}
