package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Identifies what crashes the upstreams that run it, from the losses that all entries report: the
 * content of a request, or a part that unlike requests have in their prompts.
 *
 * <p>An upstream that ends loses dozens of requests, of which at most one has crashed it. A request
 * is therefore identified only if
 *
 * <ul>
 *   <li>{@link Suspicion#MIN_ENDS} upstreams have ended while they ran it, and two of them in
 *       sequence, the later one during an attempt that was sent after the earlier one had ended. A
 *       request that ran on many upstreams of a zone that was lost at once is not identified;
 *   <li>at least one of these ends is not explained by a key that was identified before;
 *   <li>no other request that was lost in the last of these ends was lost as often. The next end
 *       distinguishes two such requests, or both are identified after one more;
 *   <li>no part of prompts that was lost beside it was lost more often;
 *   <li>it has not been answered since. One complete answer clears a request.
 * </ul>
 *
 * <p>The same holds for a part, whatever else the requests with it hold: different requests must
 * have been lost with it, more often than any one of them, and a complete answer to any request
 * with it clears it. {@link PartReview} asks all entries for such answers.
 */
final class CrashCorrelator {

  /** Time in which all entries report their losses; a probe takes a few milliseconds. */
  private static final Duration SETTLING = Duration.ofMillis(150);

  /** Time for which an end is retained. */
  private static final Duration RETENTION = Duration.ofMinutes(10);

  /** Maximum number of retained ends; the oldest end is evicted first. */
  private static final int MAX_ENDS = 64;

  /**
   * Maximum number of retained answers, which are compared with reports of ends that arrive late.
   */
  private static final int MAX_SERVED = 4096;

  /** Maximum number of keys on probation; as many as can be quarantined. */
  private static final int MAX_ON_PROBATION = 256;

  private final Map<UpstreamRun, UpstreamEnd> ends = new LinkedHashMap<>();
  private final Map<RequestKey, Instant> servedAt = new LinkedHashMap<>();
  private final Map<RequestKey, Instant> partServedAt = new LinkedHashMap<>();
  private final Set<RequestKey> onProbation = new LinkedHashSet<>();

  /** Time of the next evaluation, or null while there is nothing new. */
  private @Nullable Instant dueAt;

  /**
   * Records a request that was lost when an upstream ended. A repeated report changes nothing.
   *
   * @param upstream the run of the upstream that ended
   * @param service service of the upstream; empty if unknown
   * @param content the request
   * @param parts hashes of the parts of its prompt
   * @param sentAt when its attempt was sent
   * @param lostAt when it was lost
   * @param now the present time
   */
  void recordLoss(
      UpstreamRun upstream,
      String service,
      RequestKey content,
      List<Long> parts,
      Instant sentAt,
      Instant lostAt,
      Instant now) {
    if (!sentAt.isAfter(servedAt.getOrDefault(content, Instant.MIN))) {
      return;
    }
    UpstreamEnd end =
        ends.computeIfAbsent(upstream, unknown -> new UpstreamEnd(service, lostAt, now));
    end.add(content, parts, sentAt, lostAt);
    evictOldestBeyond(MAX_ENDS, ends.keySet());
    evaluateBy(now.plus(SETTLING));
  }

  private void evaluateBy(Instant time) {
    if (dueAt == null) {
      dueAt = time;
    }
  }

  private static void evictOldestBeyond(int limit, Set<?> insertionOrdered) {
    if (insertionOrdered.size() > limit) {
      insertionOrdered.remove(insertionOrdered.iterator().next());
    }
  }

  /**
   * Clears a request that was answered completely; attempts sent before the answer no longer count.
   */
  void recordServed(RequestKey content, Instant now) {
    boolean wasLost = false;
    for (UpstreamEnd end : ends.values()) {
      wasLost |= end.remove(content);
    }
    if (wasLost) {
      // A request that was lost as often as this one may now be the only candidate.
      evaluateBy(now);
    }
    onProbation.remove(content);
    servedAt.remove(content);
    servedAt.put(content, now);
    evictOldestBeyond(MAX_SERVED, servedAt.keySet());
  }

  /**
   * Clears a part for requests that were sent before a request with it was answered completely.
   *
   * @param part key of the part
   * @param answeredAt when the answer was complete
   * @param now the present time
   */
  void recordPartServed(RequestKey part, Instant answeredAt, Instant now) {
    if (!answeredAt.isAfter(partServedAt.getOrDefault(part, Instant.MIN))) {
      return;
    }
    onProbation.remove(part);
    partServedAt.remove(part);
    partServedAt.put(part, answeredAt);
    evictOldestBeyond(MAX_SERVED, partServedAt.keySet());
    evaluateBy(now);
  }

  private boolean counts(RequestKey part, Instant sentAt) {
    Instant answeredAt = partServedAt.get(part);
    return answeredAt == null || sentAt.isAfter(answeredAt.plus(Suspicion.SKEW));
  }

  /** Marks the ends in which requests with a quarantined key were lost as explained. */
  void markExplained(RequestKey key) {
    ends.values().forEach(end -> end.markExplained(key));
    onProbation.remove(key);
  }

  /** Puts a key on probation once its quarantine is lifted: one more end identifies it again. */
  void putOnProbation(RequestKey key, Instant now) {
    ends.values().forEach(end -> end.remove(key));
    partServedAt.put(key, now);
    onProbation.add(key);
    evictOldestBeyond(MAX_ON_PROBATION, onProbation);
  }

  /** Discards all records; a control VM that does not lead receives no reports. */
  void clear() {
    ends.clear();
    servedAt.clear();
    partServedAt.clear();
    onProbation.clear();
    dueAt = null;
  }

  /**
   * Returns the evidence of all ends whose reports have settled, or null if there is nothing new.
   *
   * <p>The losses of many upstreams are too many to evaluate at each tick for as long as they are
   * retained.
   */
  @Nullable CrashEvidence evaluate(Instant now) {
    if (dueAt == null || now.isBefore(dueAt)) {
      return null;
    }
    return evaluateNow(now);
  }

  /** Returns the evidence of all ends whose reports have settled. */
  CrashEvidence evaluateNow(Instant now) {
    removeExpired(now);
    dueAt = nextEvaluation(now);
    List<UpstreamEnd> settled =
        ends.values().stream()
            .filter(end -> !now.isBefore(end.reportedAt().plus(SETTLING)))
            .sorted(Comparator.comparing(UpstreamEnd::at))
            .toList();
    return new CrashEvidence(settled, this::counts, onProbation::contains);
  }

  private @Nullable Instant nextEvaluation(Instant now) {
    return ends.values().stream()
        .map(end -> end.reportedAt().plus(SETTLING))
        .filter(now::isBefore)
        .min(Comparator.naturalOrder())
        .orElse(null);
  }

  private void removeExpired(Instant now) {
    Iterator<UpstreamEnd> oldest = ends.values().iterator();
    while (oldest.hasNext() && !now.isBefore(oldest.next().reportedAt().plus(RETENTION))) {
      oldest.remove();
    }
  }
}
