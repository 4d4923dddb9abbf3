package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** The ends in which requests with one key were lost and after which none of them was answered. */
final class Suspicion {

  /** Minimum number of ends of upstreams after which a key is identified. */
  static final int MIN_ENDS = 3;

  /** Minimum number of these ends that happened in sequence. */
  private static final int MIN_ENDS_IN_SEQUENCE = 2;

  /** Error of one entry's times against another's, caused by differences in message delay. */
  static final Duration SKEW = Duration.ofMillis(50);

  /** What the requests with a key have in common. */
  enum Scope {
    /** Their content. */
    CONTENT,
    /** Their team and a part of their prompts. */
    PART_WITHIN_TEAM,
    /** A part of their prompts. */
    PART_OF_ALL_TEAMS
  }

  private final RequestKey key;
  private final Scope scope;
  private final boolean onProbation;
  private final Set<RequestKey> contents = new HashSet<>();
  private final Set<String> teams = new HashSet<>();
  private int ends;
  private int endsInSequence;
  private int lostRequests;
  private int lostWithOthers;
  private Instant firstAt = Instant.MAX;
  private Instant lastAt = Instant.EPOCH;
  private Instant sequenceAt = Instant.EPOCH;
  private @Nullable UpstreamEnd newest;
  private @Nullable UpstreamEnd newestUnexplained;
  private @Nullable UpstreamEnd counted;
  private Instant sentAt = Instant.EPOCH;

  /**
   * Creates a suspicion without any ends.
   *
   * @param key the key
   * @param scope what requests with the key have in common
   * @param onProbation whether one end suffices to identify the key
   */
  Suspicion(RequestKey key, Scope scope, boolean onProbation) {
    this.key = key;
    this.scope = scope;
    this.onProbation = onProbation;
    this.ends = onProbation ? MIN_ENDS - 1 : 0;
    this.endsInSequence = ends;
  }

  /** Adds a request that was lost in an end; ends are added in the order of their times. */
  void add(UpstreamEnd end, RequestKey content, Instant requestSentAt) {
    if (end != counted) {
      close();
      counted = end;
      ends++;
      lostWithOthers += end.lost().size();
      firstAt = end.at().isBefore(firstAt) ? end.at() : firstAt;
      lastAt = end.at();
      newest = end;
      newestUnexplained = end.isExplained() ? newestUnexplained : end;
      sentAt = requestSentAt;
    }
    sentAt = requestSentAt.isAfter(sentAt) ? requestSentAt : sentAt;
    lostRequests++;
    contents.add(content);
    teams.add(content.team());
  }

  /** Completes the count of the last end, once all its requests were added. */
  void close() {
    UpstreamEnd last = counted;
    if (last != null && !sentAt.plus(SKEW).isBefore(sequenceAt)) {
      endsInSequence++;
      sequenceAt = last.at();
    }
    counted = null;
  }

  RequestKey key() {
    return key;
  }

  Scope scope() {
    return scope;
  }

  /** Returns whether another key is that of the same part, within a team or for all teams. */
  boolean isSamePart(Suspicion other) {
    return part() == other.part();
  }

  private long part() {
    return scope == Scope.PART_OF_ALL_TEAMS ? ~key.content() : key.content();
  }

  /** Returns whether ends suffice to identify the key, of which at least one is unexplained. */
  boolean isSufficient() {
    return ends >= MIN_ENDS && endsInSequence >= MIN_ENDS_IN_SEQUENCE && newestUnexplained != null;
  }

  boolean isOnProbation() {
    return onProbation;
  }

  /** Returns the number of ends. */
  int ends() {
    return ends;
  }

  /** Returns the contents of the lost requests. */
  Set<RequestKey> contents() {
    return contents;
  }

  /** Returns the number of teams whose requests were lost. */
  int teams() {
    return teams.size();
  }

  /** Returns the fraction of the requests lost in these ends that have the key. */
  double shareOfLost() {
    return (double) lostRequests / Math.max(1, lostWithOthers);
  }

  /** Returns when the first of the ends happened. */
  Instant firstAt() {
    return firstAt;
  }

  /** Returns when the last of the ends happened. */
  Instant lastAt() {
    return lastAt;
  }

  /** Returns the newest of the ends, or null if there is none. */
  @Nullable UpstreamEnd newest() {
    return newest;
  }

  /** Returns the newest of the ends that no quarantined key explains, or null. */
  @Nullable UpstreamEnd newestUnexplained() {
    return newestUnexplained;
  }
}
