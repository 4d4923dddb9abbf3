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
 * Identifies the requests that crash the upstreams which run them, from the losses that all entries
 * report.
 *
 * <p>An upstream that ends loses dozens of requests, of which at most one has crashed it. A request
 * is therefore identified only if
 *
 * <ul>
 *   <li>{@link #MIN_ENDS} upstreams have ended while they ran it, and {@link #MIN_ENDS_IN_SEQUENCE}
 *       of them in sequence, the later one during an attempt that was sent after the earlier one
 *       had ended. A request that ran on many upstreams of a zone that was lost at once is not
 *       identified;
 *   <li>at least one of these ends is not explained by a request that was identified before;
 *   <li>no other request that was lost in the last of these ends was lost as often. The next end
 *       distinguishes two such requests, or both are identified after {@link #CERTAIN_ENDS};
 *   <li>it has not been answered since. One complete answer clears a request.
 * </ul>
 */
final class CrashCorrelator {

  /** Minimum number of ends of upstreams after which a request that ran on them is identified. */
  static final int MIN_ENDS = 3;

  /** Minimum number of these ends that happened in sequence. */
  private static final int MIN_ENDS_IN_SEQUENCE = 2;

  /**
   * Ends after which a request is identified although others were lost as often, but none more
   * often. Where few upstreams are left, the same requests are lost in each end, and a harmless
   * request has used all of its attempts after this many.
   */
  private static final int CERTAIN_ENDS = 4;

  /** Time in which all entries report their losses; a probe takes a few milliseconds. */
  private static final Duration SETTLING = Duration.ofMillis(150);

  /** Error of one entry's times against another's, caused by differences in message delay. */
  private static final Duration SKEW = Duration.ofMillis(50);

  /** Time for which an end is retained. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  /** Maximum number of retained ends; the oldest end is evicted first. */
  private static final int MAX_ENDS = 64;

  private static final int MAX_LOST_PER_END = 512;

  /**
   * Maximum number of retained answers, which are compared with reports of ends that arrive late.
   */
  private static final int MAX_SERVED = 4096;

  /** Maximum number of requests on probation; as many as can be quarantined. */
  private static final int MAX_ON_PROBATION = 256;

  private final Map<UpstreamRun, End> ends = new LinkedHashMap<>();
  private final Map<RequestKey, Instant> servedAt = new LinkedHashMap<>();
  private final Set<RequestKey> onProbation = new LinkedHashSet<>();

  /** Time of the next evaluation, or null while there is nothing new. */
  private @Nullable Instant dueAt;

  /** The end of one run of an upstream, with the send time of each request that was lost in it. */
  private static final class End {
    private final Instant reportedAt;
    private Instant at;
    private final Map<RequestKey, Instant> sentAt = new LinkedHashMap<>();
    private boolean explained;

    private End(Instant at, Instant reportedAt) {
      this.at = at;
      this.reportedAt = reportedAt;
    }
  }

  /** Counts of a request's losses, and the requests that were lost in its last unexplained end. */
  private static final class Suspicion {
    private int ends;
    private int endsInSequence;
    private Instant lastAt = Instant.EPOCH;
    private Set<RequestKey> lostWith = Set.of();
  }

  /**
   * Records a request that was lost when an upstream ended. A repeated report changes nothing.
   *
   * @param upstream the run of the upstream that ended
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
    if (end.sentAt.size() < MAX_LOST_PER_END) {
      end.sentAt.merge(key, sentAt, CrashCorrelator::later);
    }
    evictOldestBeyond(MAX_ENDS, ends.keySet());
    if (dueAt == null) {
      dueAt = now.plus(SETTLING);
    }
  }

  private static Instant later(Instant one, Instant other) {
    return one.isAfter(other) ? one : other;
  }

  private static void evictOldestBeyond(int limit, Set<?> insertionOrdered) {
    if (insertionOrdered.size() > limit) {
      insertionOrdered.remove(insertionOrdered.iterator().next());
    }
  }

  /**
   * Clears a request that was answered completely; attempts sent before the answer no longer count.
   */
  void recordServed(RequestKey key, Instant now) {
    boolean wasLost = false;
    for (End end : ends.values()) {
      wasLost |= end.sentAt.remove(key) != null;
    }
    if (wasLost && dueAt == null) {
      // A request that was lost as often as this one may now be the only candidate.
      dueAt = now;
    }
    onProbation.remove(key);
    servedAt.remove(key);
    servedAt.put(key, now);
    evictOldestBeyond(MAX_SERVED, servedAt.keySet());
  }

  /** Marks the ends in which a quarantined request was lost as explained. */
  void markExplained(RequestKey key) {
    for (End end : ends.values()) {
      end.explained |= end.sentAt.containsKey(key);
    }
    onProbation.remove(key);
  }

  /**
   * Puts a request on probation once its quarantine is lifted: one more end identifies it again.
   */
  void putOnProbation(RequestKey key) {
    ends.values().forEach(end -> end.sentAt.remove(key));
    onProbation.add(key);
    evictOldestBeyond(MAX_ON_PROBATION, onProbation);
  }

  /** Discards all records; a control VM that does not lead receives no reports. */
  void clear() {
    ends.clear();
    servedAt.clear();
    onProbation.clear();
    dueAt = null;
  }

  /**
   * Returns the requests that are newly identified as crashing their upstreams.
   *
   * <p>Evaluates only once the reports of new ends have settled: the losses of many upstreams are
   * too many to evaluate at each tick for as long as they are retained.
   */
  List<RequestKey> findCrashing(Instant now) {
    if (dueAt == null || now.isBefore(dueAt)) {
      return List.of();
    }
    removeExpired(now);
    dueAt = nextEvaluation(now);
    Map<RequestKey, Suspicion> suspicions = suspicions(now);
    List<RequestKey> crashing = new ArrayList<>();
    suspicions.forEach(
        (key, suspicion) -> {
          if (isCrashing(key, suspicion, suspicions)) {
            crashing.add(key);
          }
        });
    return crashing;
  }

  private @Nullable Instant nextEvaluation(Instant now) {
    return ends.values().stream()
        .map(end -> end.reportedAt.plus(SETTLING))
        .filter(now::isBefore)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }

  private void removeExpired(Instant now) {
    Iterator<End> oldest = ends.values().iterator();
    while (oldest.hasNext() && !now.isBefore(oldest.next().reportedAt.plus(RETENTION))) {
      oldest.remove();
    }
  }

  private Map<RequestKey, Suspicion> suspicions(Instant now) {
    Map<RequestKey, Suspicion> suspicions = new HashMap<>();
    ends.values().stream()
        .filter(end -> !now.isBefore(end.reportedAt.plus(SETTLING)))
        .sorted(Comparator.comparing(end -> end.at))
        .forEach(end -> add(end, suspicions));
    return suspicions;
  }

  private void add(End end, Map<RequestKey, Suspicion> suspicions) {
    end.sentAt.forEach(
        (key, sentAt) -> {
          Suspicion suspicion = suspicions.computeIfAbsent(key, this::initialSuspicion);
          suspicion.ends++;
          if (!sentAt.plus(SKEW).isBefore(suspicion.lastAt)) {
            suspicion.endsInSequence++;
            suspicion.lastAt = end.at;
          }
          if (!end.explained) {
            suspicion.lostWith = end.sentAt.keySet();
          }
        });
  }

  private Suspicion initialSuspicion(RequestKey key) {
    Suspicion suspicion = new Suspicion();
    suspicion.ends = onProbation.contains(key) ? MIN_ENDS - 1 : 0;
    suspicion.endsInSequence = suspicion.ends;
    return suspicion;
  }

  private static boolean isCrashing(
      RequestKey key, Suspicion suspicion, Map<RequestKey, Suspicion> suspicions) {
    boolean suspected =
        suspicion.ends >= MIN_ENDS && suspicion.endsInSequence >= MIN_ENDS_IN_SEQUENCE;
    if (!suspected || suspicion.lostWith.isEmpty()) {
      return false;
    }
    int maxEndsOfOthers =
        suspicion.lostWith.stream()
            .filter(other -> !other.equals(key))
            .mapToInt(other -> suspicions.get(other).ends)
            .max()
            .orElse(0);
    boolean alone = suspicion.ends > maxEndsOfOthers;
    boolean certain = suspicion.ends == maxEndsOfOthers && suspicion.ends >= CERTAIN_ENDS;
    return alone || certain;
  }
}
