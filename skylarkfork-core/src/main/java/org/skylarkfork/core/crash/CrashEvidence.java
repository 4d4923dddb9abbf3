package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.skylarkfork.core.crash.Suspicion.Scope;
import org.skylarkfork.core.crash.UpstreamEnd.Lost;

/**
 * What the reported ends of upstreams say about the contents of requests and the parts of prompts
 * at one time.
 *
 * <p>Contents are preferred to parts, and parts within a team to parts of all teams: a key is
 * suspected only for more ends than a narrower one accounts for.
 */
final class CrashEvidence {

  /**
   * Ends after which a key is identified although others were lost as often, but none more often.
   * Where few upstreams are left, the same requests are lost in each end, and a harmless request
   * has used all of its attempts after this many.
   */
  private static final int CERTAIN_ENDS = 4;

  /**
   * Time after a key's last end in which it can be identified. After an outage of all upstreams
   * harmless requests were lost as often as others and answered by none.
   */
  static final Duration DECISION_PERIOD = Duration.ofMillis(1500);

  /** Minimum number of different requests that were lost with a part. */
  private static final int MIN_CONTENTS = 2;

  /** Minimum sum of the ends of a part and of the different requests that were lost with it. */
  private static final int MIN_ENDS_AND_CONTENTS = 6;

  /** Minimum number of different requests with a part that may be the cause of others' ends. */
  private static final int MIN_CONTENTS_BESIDE = 3;

  /**
   * Maximum number of ends for each request with a part that may be the cause of others' ends. A
   * request has no more attempts than this on most routes; more ends are those of requests that are
   * sent again and again.
   */
  private static final int MAX_ENDS_PER_CONTENT = 3;

  private final Map<RequestKey, Suspicion> contents = new HashMap<>();
  private final Map<RequestKey, Suspicion> parts = new HashMap<>();
  private final Map<UpstreamEnd, Set<Suspicion>> partsByEnd = new HashMap<>();
  private final List<UpstreamEnd> ends;
  private final Predicate<RequestKey> onProbation;

  /** Decides whether a request that was lost still counts for the key of a part. */
  interface PartFilter {

    /** Returns whether no answer with the part came after an attempt was sent. */
    boolean counts(RequestKey part, Instant sentAt);
  }

  /**
   * Creates the evidence of ends.
   *
   * @param ends the ends, oldest first
   * @param filter which losses count for parts
   * @param onProbation the keys for which one end is enough
   */
  CrashEvidence(List<UpstreamEnd> ends, PartFilter filter, Predicate<RequestKey> onProbation) {
    this.ends = ends;
    this.onProbation = onProbation;
    ends.forEach(end -> add(end, filter));
    contents.values().forEach(Suspicion::close);
    parts.values().forEach(Suspicion::close);
  }

  private void add(UpstreamEnd end, PartFilter filter) {
    end.lost()
        .forEach(
            (content, lost) -> {
              suspicion(contents, content, Scope.CONTENT).add(end, content, lost.sentAt());
              addParts(end, content, lost, filter);
            });
  }

  private void addParts(UpstreamEnd end, RequestKey content, Lost lost, PartFilter filter) {
    for (long part : lost.parts()) {
      RequestKey withinTeam = RequestKey.ofPart(content.team(), part);
      if (filter.counts(withinTeam, lost.sentAt())) {
        addPart(end, content, lost, suspicion(parts, withinTeam, Scope.PART_WITHIN_TEAM));
      }
      RequestKey ofAllTeams = RequestKey.ofPartOfAllTeams(part);
      if (filter.counts(ofAllTeams, lost.sentAt())) {
        addPart(end, content, lost, suspicion(parts, ofAllTeams, Scope.PART_OF_ALL_TEAMS));
      }
    }
  }

  private void addPart(UpstreamEnd end, RequestKey content, Lost lost, Suspicion suspicion) {
    suspicion.add(end, content, lost.sentAt());
    partsByEnd.computeIfAbsent(end, unknown -> new HashSet<>()).add(suspicion);
  }

  private Suspicion suspicion(Map<RequestKey, Suspicion> suspicions, RequestKey key, Scope scope) {
    return suspicions.computeIfAbsent(
        key, each -> new Suspicion(each, scope, onProbation.test(each)));
  }

  /** Returns the contents of requests that crash their upstreams, if they were lost just now. */
  List<RequestKey> crashingContents(Instant now) {
    return contents.values().stream()
        .filter(Suspicion::isSufficient)
        .filter(suspicion -> now.isBefore(suspicion.lastAt().plus(DECISION_PERIOD)))
        .filter(this::standsOutAmongContents)
        .filter(suspicion -> !isBesideSuspectedPart(suspicion))
        .map(Suspicion::key)
        .toList();
  }

  private boolean standsOutAmongContents(Suspicion suspicion) {
    UpstreamEnd end = suspicion.newestUnexplained();
    if (end == null) {
      return false;
    }
    int maxEndsOfOthers =
        end.lost().keySet().stream()
            .filter(other -> !other.equals(suspicion.key()))
            .mapToInt(other -> contents.get(other).ends())
            .max()
            .orElse(0);
    return standsOut(suspicion.ends(), maxEndsOfOthers);
  }

  private static boolean standsOut(int ends, int maxEndsOfOthers) {
    return ends > maxEndsOfOthers || ends == maxEndsOfOthers && ends >= CERTAIN_ENDS;
  }

  /**
   * Returns whether a part of prompts was lost more often than a content, so that requests with the
   * part rather than this one may have ended the upstreams.
   *
   * <p>A harmless request that moves on from end to end is lost three times within half a second,
   * and would be quarantined in place of the part. It uses up its attempts by {@link
   * #CERTAIN_ENDS}, so that more ends speak for the content again.
   */
  private boolean isBesideSuspectedPart(Suspicion content) {
    if (content.ends() > CERTAIN_ENDS) {
      return false;
    }
    UpstreamEnd end = content.newestUnexplained();
    return partsByEnd.getOrDefault(end, Set.of()).stream()
        .anyMatch(
            part ->
                part.ends() >= content.ends()
                    && part.contents().size() >= MIN_CONTENTS_BESIDE
                    && part.contents().size() * MAX_ENDS_PER_CONTENT >= part.ends());
  }

  /** Returns the parts for which ends suffice and no narrower key accounts for as many. */
  List<Suspicion> suspectedParts() {
    return parts.values().stream()
        .filter(Suspicion::isSufficient)
        .filter(this::exceedsNarrowerKeys)
        .toList();
  }

  private boolean exceedsNarrowerKeys(Suspicion part) {
    if (part.isOnProbation()) {
      return true;
    }
    int maxEndsOfContents =
        part.contents().stream().mapToInt(content -> contents.get(content).ends()).max().orElse(0);
    return part.contents().size() >= MIN_CONTENTS
        && part.ends() + part.contents().size() >= MIN_ENDS_AND_CONTENTS
        && part.ends() > maxEndsOfContents
        && (part.scope() == Scope.PART_WITHIN_TEAM || part.teams() > 1);
  }

  /** Returns whether no other part that was lost in a part's last end was lost more often. */
  boolean standsOutAmongParts(Suspicion part) {
    int maxEndsOfOthers =
        partsByEnd.getOrDefault(part.newestUnexplained(), Set.of()).stream()
            .filter(other -> !other.isSamePart(part) || other.ends() > part.ends())
            .mapToInt(Suspicion::ends)
            .max()
            .orElse(0);
    return standsOut(part.ends(), maxEndsOfOthers);
  }

  /**
   * Returns the fraction of the ends, from the first to the last in which a part was lost, that the
   * part accounts for.
   */
  double coverage(Suspicion part) {
    long between =
        ends.stream()
            .filter(end -> !end.at().isBefore(part.firstAt()) && !end.at().isAfter(part.lastAt()))
            .count();
    return Math.min(1, (double) part.ends() / Math.max(1, between));
  }

  /** Returns the parts with a number of ends or more, the most suspected first. */
  List<Suspicion> partsWithEnds(int minEnds) {
    return parts.values().stream()
        .filter(part -> part.ends() >= minEnds && part.newestUnexplained() != null)
        .sorted(Comparator.comparingInt(Suspicion::ends).reversed())
        .toList();
  }
}
