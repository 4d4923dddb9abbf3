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
final class HeldRequests {

  /**
   * Longest wait of a request for this entry to be able to serve. A restart of everything takes two
   * seconds, and the entries are up a second before the control VMs; an engine answers in 0.2 s, so
   * that a stream that waited this long is still in time.
   */
  private static final Duration LONGEST = Duration.ofMillis(900);

  /** Most requests that wait; a body of 10 kB each takes 5 MB. */
  private static final int MOST = 512;

  private final Map<Long, HeldRequest> waiting = new LinkedHashMap<>();

  /** Keeps a request; returns whether there was room. */
  boolean hold(RelayRequest request, Instant now) {
    if (waiting.size() >= MOST) {
      return false;
    }
    waiting.put(request.number(), new HeldRequest(request, now));
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
  List<HeldRequest> release(Predicate<RelayRequest> servable, Instant now) {
    List<HeldRequest> released = new ArrayList<>();
    for (HeldRequest held : waiting.values()) {
      boolean tooLong = !now.isBefore(held.arrivedAt().plus(LONGEST));
      if (tooLong || servable.test(held.request())) {
        released.add(held);
      }
    }
    released.forEach(held -> waiting.remove(held.request().number()));
    return released;
  }
}
