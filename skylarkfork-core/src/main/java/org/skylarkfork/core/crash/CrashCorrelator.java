package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Decides which requests end the upstreams that run them, from what all entries lost.
 *
 * <p>An upstream that ends takes dozens of requests with it, of which one at most has ended it. So
 * a request is found only if
 *
 * <ul>
 *   <li>{@link #ENDS} upstreams have ended under it, and {@link #ENDS_IN_TURN} of them one after
 *       the other, the later one under an attempt that was sent after the first had ended: what was
 *       under way at many upstreams of a zone that is lost is not found;
 *   <li>one of these ends at least isn't explained by a request that was found before;
 *   <li>no other one that was lost with the last of these was lost as often; such two are told
 *       apart by the next end, or both found after {@link #CERTAIN_ENDS};
 *   <li>it was not answered since. One whole answer clears a request.
 * </ul>
 */
final class CrashCorrelator {

  /** Upstreams that end under a request until it is found. */
  static final int ENDS = 3;

  /** Of these, how many must have come one after the other. */
  private static final int ENDS_IN_TURN = 2;

  /**
   * Ends after which a request is found though others were lost as often, but none more often.
   * Where few upstreams are left, each end takes the same requests, and a good one has no attempt
   * left after so many.
   */
  private static final int CERTAIN_ENDS = 4;

  /** Time until all entries have told what they lost; a probe takes a few milliseconds. */
  private static final Duration SETTLING = Duration.ofMillis(150);

  /** Differences of messages' ways, by which a time of one entry may be wrong against another's. */
  private static final Duration SKEW = Duration.ofMillis(50);

  /** Time for which an end is remembered. */
  private static final Duration KEPT = Duration.ofMinutes(10);

  /** Ends that are remembered, and requests that were lost with each; the oldest end goes first. */
  private static final int MAX_UPSTREAMS = 64;

  private static final int MAX_LOST = 512;

  /** Requests that were lost and then answered, for word of an end that comes late. */
  private static final int MAX_SERVED = 4096;

  /** Requests that were let through again; as many as can be refused. */
  private static final int MAX_ON_PROBATION = 256;

  private final Map<UpstreamRun, End> ends = new LinkedHashMap<>();
  private final Map<RequestKey, Instant> servedAt = new LinkedHashMap<>();
  private final Set<RequestKey> onProbation = new LinkedHashSet<>();

  /** When to look next, or null while nothing new was told. */
  private @Nullable Instant dueAt;

  /** The end of one start of an upstream, and when each request that was lost with it was sent. */
  private static final class End {
    private final Instant toldAt;
    private Instant at;
    private final Map<RequestKey, Instant> sentAt = new LinkedHashMap<>();
    private boolean explained;

    private End(Instant at, Instant toldAt) {
      this.at = at;
      this.toldAt = toldAt;
    }
  }

  /** How often a request was lost, and with which others at its last end that isn't explained. */
  private static final class Suspicion {
    private int ends;
    private int inTurn;
    private Instant lastAt = Instant.EPOCH;
    private Set<RequestKey> lostWith = Set.of();
  }

  /**
   * Takes note of a request that was lost as an upstream ended; the same told again changes
   * nothing.
   *
   * @param upstream the start of the upstream that ended
   * @param key the request
   * @param sentAt when its attempt was sent
   * @param lostAt when it was lost
   * @param now the present time
   */
  void recordLoss(
      UpstreamRun upstream, RequestKey key, Instant sentAt, Instant lostAt, Instant now) {
    if (!sentAt.isAfter(servedAt.getOrDefault(key, Instant.MIN))) {
      return;
    }
    End end = ends.computeIfAbsent(upstream, unknown -> new End(lostAt, now));
    if (lostAt.isBefore(end.at)) {
      end.at = lostAt;
    }
    if (end.sentAt.size() < MAX_LOST) {
      end.sentAt.merge(key, sentAt, CrashCorrelator::later);
    }
    forgetOldestBeyond(MAX_UPSTREAMS, ends.keySet());
    if (dueAt == null) {
      dueAt = now.plus(SETTLING);
    }
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  private static void forgetOldestBeyond(int most, Set<?> inOrder) {
    if (inOrder.size() > most) {
      inOrder.remove(inOrder.iterator().next());
    }
  }

  /** Clears a request that was answered whole; attempts that were sent before count no more. */
  void recordServed(RequestKey key, Instant now) {
    boolean wasLost = false;
    for (End end : ends.values()) {
      wasLost |= end.sentAt.remove(key) != null;
    }
    if (wasLost && dueAt == null) {
      // Another one may have been lost as often as this, and stands alone now.
      dueAt = now;
    }
    onProbation.remove(key);
    servedAt.remove(key);
    servedAt.put(key, now);
    forgetOldestBeyond(MAX_SERVED, servedAt.keySet());
  }

  /** Takes note that a request is refused: the ends under it are explained. */
  void markExplained(RequestKey key) {
    for (End end : ends.values()) {
      end.explained |= end.sentAt.containsKey(key);
    }
    onProbation.remove(key);
  }

  /** Takes note that a request is let through again: one more end is enough to find it. */
  void putOnProbation(RequestKey key) {
    ends.values().forEach(end -> end.sentAt.remove(key));
    onProbation.add(key);
    forgetOldestBeyond(MAX_ON_PROBATION, onProbation);
  }

  /** Forgets everything; a control VM that doesn't lead is told nothing. */
  void clear() {
    ends.clear();
    servedAt.clear();
    onProbation.clear();
    dueAt = null;
  }

  /**
   * Returns the requests that are known by now to end what runs them and weren't a moment ago.
   *
   * <p>Looks only once new ends have settled: what many upstreams took with them is too much to go
   * through at each tick for as long as it is remembered.
   */
  List<RequestKey> findCrashing(Instant now) {
    if (dueAt == null || now.isBefore(dueAt)) {
      return List.of();
    }
    forgetOld(now);
    dueAt = nextDue(now);
    Map<RequestKey, Suspicion> suspicions = suspicions(now);
    List<RequestKey> found = new ArrayList<>();
    suspicions.forEach(
        (key, suspicion) -> {
          if (isCrashing(key, suspicion, suspicions)) {
            found.add(key);
          }
        });
    return found;
  }

  private @Nullable Instant nextDue(Instant now) {
    return ends.values().stream()
        .map(end -> end.toldAt.plus(SETTLING))
        .filter(now::isBefore)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }

  private void forgetOld(Instant now) {
    Iterator<End> oldest = ends.values().iterator();
    while (oldest.hasNext() && !now.isBefore(oldest.next().toldAt.plus(KEPT))) {
      oldest.remove();
    }
  }

  private Map<RequestKey, Suspicion> suspicions(Instant now) {
    Map<RequestKey, Suspicion> suspicions = new HashMap<>();
    ends.values().stream()
        .filter(end -> !now.isBefore(end.toldAt.plus(SETTLING)))
        .sorted(Comparator.comparing(end -> end.at))
        .forEach(end -> add(end, suspicions));
    return suspicions;
  }

  private void add(End end, Map<RequestKey, Suspicion> suspicions) {
    end.sentAt.forEach(
        (key, sentAt) -> {
          Suspicion suspicion = suspicions.computeIfAbsent(key, this::before);
          suspicion.ends++;
          if (!sentAt.plus(SKEW).isBefore(suspicion.lastAt)) {
            suspicion.inTurn++;
            suspicion.lastAt = end.at;
          }
          if (!end.explained) {
            suspicion.lostWith = end.sentAt.keySet();
          }
        });
  }

  private Suspicion before(RequestKey key) {
    Suspicion suspicion = new Suspicion();
    suspicion.ends = onProbation.contains(key) ? ENDS - 1 : 0;
    suspicion.inTurn = suspicion.ends;
    return suspicion;
  }

  private static boolean isCrashing(
      RequestKey key, Suspicion suspicion, Map<RequestKey, Suspicion> suspicions) {
    boolean suspected = suspicion.ends >= ENDS && suspicion.inTurn >= ENDS_IN_TURN;
    if (!suspected || suspicion.lostWith.isEmpty()) {
      return false;
    }
    int mostOfOthers =
        suspicion.lostWith.stream()
            .filter(other -> !other.equals(key))
            .mapToInt(other -> suspicions.get(other).ends)
            .max()
            .orElse(0);
    boolean alone = suspicion.ends > mostOfOthers;
    boolean certain = suspicion.ends == mostOfOthers && suspicion.ends >= CERTAIN_ENDS;
    return alone || certain;
  }
}
