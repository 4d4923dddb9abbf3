package org.skylarkfork.daemon.proof;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.trace.TimelineRecord;

/** The checks that read the daemons' time lines. */
final class TimelineChecks {

  /** An upstream that announced leaving may still get work for this long. */
  static final Duration LEAVING_LIMIT = Duration.ofSeconds(5);

  private static final String DISPATCHED = "request.dispatched";
  private static final String APPLIED = "configuration.applied";
  private static final Pattern REVISION = Pattern.compile("revision (\\d+) after .*");
  private static final String TEAM = "team ";

  private final ProofEvidence evidence;

  TimelineChecks(ProofEvidence evidence) {
    this.evidence = evidence;
  }

  /** Checks each dispatch against the versions of the request's team. */
  void allowed(Findings found) {
    Map<String, Set<String>> versions = new HashMap<>();
    evidence.teams().forEach(team -> versions.put(team.name(), team.versions()));
    for (List<TimelineRecord> lines : evidence.timelines().values()) {
      Map<String, String> teams = new HashMap<>();
      for (TimelineRecord line : lines) {
        if (line.what().equals("request.received") && line.detail().startsWith(TEAM)) {
          teams.put(line.requestId(), line.detail().substring(TEAM.length()));
        } else if (line.what().equals(DISPATCHED) && line.version() != null) {
          Set<String> allowed = versions.getOrDefault(teams.get(line.requestId()), Set.of());
          found.check(
              allowed.contains(line.version()),
              line.requestId() + " of " + teams.get(line.requestId()) + " on " + line.version());
        }
      }
    }
  }

  /**
   * Checks that no daemon dispatched to a version under a revision that withdraws it, and that no
   * daemon did anywhere once the withdrawal was in force.
   */
  PromiseResult withdrawn() {
    Findings found = new Findings(Promise.WITHDRAWN);
    evidence.bars().stream().filter(ProofEvidence.Bar::version).forEach(bar -> barred(bar, found));
    return found.result();
  }

  /** Checks that leaving upstreams got no work after a few seconds, and drained ones none. */
  PromiseResult leaving() {
    Findings found = new Findings(Promise.LEAVING);
    evidence.bars().stream().filter(bar -> !bar.version()).forEach(bar -> barred(bar, found));
    for (ProofEvidence.Leaving leaving : evidence.leavings()) {
      Instant from = leaving.from().plus(LEAVING_LIMIT);
      for (List<TimelineRecord> lines : evidence.timelines().values()) {
        for (TimelineRecord line : lines) {
          boolean late = line.at().isAfter(from) && line.at().isBefore(leaving.until());
          if (late && line.what().equals(DISPATCHED)) {
            found.check(
                !dispatchedTo(line, leaving.upstream(), false),
                line.node() + " dispatched to the leaving " + leaving.upstream() + " late");
          }
        }
      }
    }
    return found.result();
  }

  private void barred(ProofEvidence.Bar bar, Findings found) {
    Long from = evidence.history().get(bar.fromChange());
    if (from == null) {
      return;
    }
    Long until = bar.untilChange() == null ? null : evidence.history().get(bar.untilChange());
    Instant inForce = evidence.inForce().get(from);
    for (List<TimelineRecord> lines : evidence.timelines().values()) {
      RevisionTrack track = new RevisionTrack();
      for (TimelineRecord line : lines) {
        track.take(line);
        if (line.what().equals(DISPATCHED)) {
          boolean under = track.revision >= from && (until == null || track.revision < until);
          boolean after = inForce != null && between(line.at(), inForce, bar.untilSentAt());
          if (under || after) {
            found.check(
                !dispatchedTo(line, bar.name(), bar.version()),
                line.node() + " dispatched to " + bar.name() + " under " + track.revision);
          }
        }
      }
    }
  }

  private static boolean between(Instant at, Instant from, @Nullable Instant until) {
    return at.isAfter(from) && (until == null || at.isBefore(until));
  }

  private static boolean dispatchedTo(TimelineRecord line, String name, boolean version) {
    return line.what().equals(DISPATCHED)
        && name.equals(version ? line.version() : line.upstream());
  }

  static long revision(TimelineRecord line) {
    Matcher matcher = REVISION.matcher(line.detail());
    if (!matcher.matches()) {
      throw new IllegalStateException("Teach the checker to read '" + line.detail() + "'.");
    }
    return Long.parseLong(matcher.group(1));
  }

  /** Checks that no request is billed twice by the daemons. */
  void billedOnce(Findings found) {
    Set<String> billed = new HashSet<>();
    for (List<TimelineRecord> lines : evidence.timelines().values()) {
      for (TimelineRecord line : lines) {
        if (line.what().equals("request.billed")) {
          found.check(billed.add(line.requestId()), line.requestId() + " was billed twice");
        }
      }
    }
  }

  /**
   * Checks that revisions only rise while a daemon runs, and that no work goes out under an older
   * revision than the daemon had before its restart or than was in force everywhere.
   */
  void neverReverts(Findings found) {
    for (List<TimelineRecord> lines : evidence.timelines().values()) {
      RevisionTrack track = new RevisionTrack();
      for (TimelineRecord line : lines) {
        long before = track.revision;
        track.take(line);
        if (line.what().equals(APPLIED)) {
          found.check(
              track.revision >= before || track.restarted,
              line.node() + " fell from " + before + " to " + track.revision);
        } else if (line.what().equals(DISPATCHED)) {
          long least = Math.max(track.highest, inForceAt(line.at()));
          found.check(
              track.revision >= least,
              line.node()
                  + " worked under "
                  + track.revision
                  + " at "
                  + line.at()
                  + ", not "
                  + least);
        }
      }
    }
  }

  private long inForceAt(Instant at) {
    return evidence.inForce().entrySet().stream()
        .filter(entry -> entry.getValue().isBefore(at))
        .mapToLong(Map.Entry::getKey)
        .max()
        .orElse(0);
  }

  /** Checks that requests that were open during a planned stop were finished. */
  PromiseResult plannedStops() {
    Findings found = new Findings(Promise.PLANNED_STOP);
    for (ProofEvidence.PlannedStop stop : evidence.stops()) {
      found.check(stop.whole(), stop.node() + " ran out of time at its planned stop");
      openAt(stop)
          .forEach(
              (request, end) ->
                  found.check(
                      end.equals("request.answered") || end.equals("request.refused"),
                      stop.node() + " left " + request + " at " + end + " at its planned stop"));
    }
    return found.result();
  }

  /**
   * Returns the last mark of each request that ran between the stop's request and its end. What a
   * crash before has cut off is none of the stop's.
   */
  private Map<String, String> openAt(ProofEvidence.PlannedStop stop) {
    Map<String, String> marks = new HashMap<>();
    long sequence = 0;
    for (TimelineRecord line : evidence.timelines().getOrDefault(stop.node(), List.of())) {
      if (line.at().isAfter(stop.until())) {
        break;
      }
      if (line.sequence() <= sequence && line.at().isBefore(stop.from())) {
        marks.clear();
      }
      sequence = line.sequence();
      if (line.requestId() == null) {
        continue;
      }
      boolean ended = marks.getOrDefault(line.requestId(), "").startsWith("request.answered");
      if (line.at().isBefore(stop.from()) && isEnd(line)) {
        marks.remove(line.requestId());
      } else if (!ended && line.what().startsWith("request.")) {
        marks.put(line.requestId(), line.what());
      }
    }
    return marks;
  }

  private static boolean isEnd(TimelineRecord line) {
    return Set.of("request.answered", "request.refused", "request.broken", "request.abandoned")
        .contains(line.what());
  }

  /** Follows the revision of a daemon over its restarts, which begin at none. */
  private static final class RevisionTrack {
    private long revision;
    private long highest;
    private long sequence;
    private boolean restarted;

    private void take(TimelineRecord line) {
      restarted = line.sequence() <= sequence;
      sequence = line.sequence();
      if (restarted) {
        revision = 0;
      }
      if (line.what().equals(APPLIED)) {
        revision = TimelineChecks.revision(line);
        highest = Math.max(highest, revision);
      }
    }
  }
}
