package org.skylarkfork.daemon.proof;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.trace.TimelineRecord;
import org.skylarkfork.standin.load.LoadKind;
import org.skylarkfork.standin.load.LoadOutcome;
import org.skylarkfork.standin.load.LoadRecord;

/** Evidence of a small run without violations, to which a test adds one. */
final class SampleEvidence {

  static final Instant START = Instant.parse("2026-01-01T08:00:00Z");

  final List<LoadRecord> records = new ArrayList<>();
  final Map<String, Integer> runs = new HashMap<>();
  final List<TimelineRecord> lines = new ArrayList<>();
  final List<OperatorAnswer> answers = new ArrayList<>();
  final Map<String, Long> history = new HashMap<>();
  final List<ProofEvidence.Bar> bars = new ArrayList<>();
  final List<ProofEvidence.Leaving> leavings = new ArrayList<>();
  final List<ProofEvidence.PlannedStop> stops = new ArrayList<>();
  final Map<Long, Instant> inForce = new HashMap<>();
  final List<String> unrecovered = new ArrayList<>();
  long billedDrafts = 3;
  long billedIssues = 1;
  boolean crashes;

  SampleEvidence() {
    change("withdraw", 2);
    change("reinstate", 3);
    bars.add(new ProofEvidence.Bar("large:1", true, "withdraw", "reinstate", at(30)));
    bars.add(new ProofEvidence.Bar("engine-9", false, "withdraw", "reinstate", at(30)));
    inForce.put(2L, at(20));
    leavings.add(new ProofEvidence.Leaving("engine-8", at(40), at(60)));
    stops.add(new ProofEvidence.PlannedStop("vm-1", at(70), at(80), true));
    line(1, "configuration.applied", "", null, null, "revision 1 after 0");
    draft(2, "draft-1", "large:1", "engine-1");
    line(10, "configuration.applied", "", null, null, "revision 2 after 1");
    draft(15, "draft-2", "large:2", "engine-1");
    line(35, "configuration.applied", "", null, null, "revision 3 after 2");
    draft(71, "draft-3", "large:1", "engine-1");
    record(LoadKind.ISSUE, "issue-1", LoadOutcome.WHOLE, null);
    runs.put("issue-1", 1);
  }

  static Instant at(long seconds) {
    return START.plusSeconds(seconds);
  }

  private void draft(long second, String id, String version, String upstream) {
    received(second, id);
    line(second, "request.dispatched", id, version, upstream, "attempt 1");
    line(second, "request.billed", id, null, null, "1 micros");
    line(second + 1, "request.answered", id, null, null, "1 attempts");
    record(LoadKind.DRAFT, id, LoadOutcome.WHOLE, version);
  }

  void received(long second, String id) {
    line(second, "request.received", id, null, null, "team large-team");
  }

  void dispatched(long second, String id, String version, String upstream) {
    received(second, id);
    line(second, "request.dispatched", id, version, upstream, "attempt 1");
  }

  void line(
      long second,
      String what,
      String id,
      @Nullable String version,
      @Nullable String upstream,
      String detail) {
    String request = id.isEmpty() ? null : id;
    lines.add(
        new TimelineRecord(
            "vm-1", lines.size() + 1, at(second), what, request, null, version, upstream, detail));
  }

  void record(LoadKind kind, String key, LoadOutcome outcome, @Nullable String version) {
    record(kind, key, outcome, version, null, false);
  }

  void record(
      LoadKind kind,
      String key,
      LoadOutcome outcome,
      @Nullable String version,
      @Nullable String session,
      boolean moved) {
    records.add(
        new LoadRecord(
            records.size(),
            kind,
            key,
            session,
            0,
            1,
            0,
            key,
            outcome,
            200,
            version,
            moved,
            1,
            1,
            1,
            ""));
  }

  void change(String id, long revision) {
    answer(id, null, revision);
    history.put(id, revision);
  }

  void answer(String id, @Nullable Long expected, long revision) {
    answers.add(
        new OperatorAnswer(
            id, expected, OperatorAnswer.Outcome.ACCEPTED, revision, START, "accepted"));
  }

  ProofEvidence evidence() {
    return new ProofEvidence(
        List.of(new ProofEvidence.TeamFacts("large-team", Set.of("large:1", "large:2"))),
        records,
        runs,
        Map.of("vm-1", lines),
        answers,
        history,
        bars,
        leavings,
        stops,
        inForce,
        Map.of("large-team", Map.of(LoadKind.DRAFT, billedDrafts, LoadKind.ISSUE, billedIssues)),
        crashes,
        unrecovered,
        1);
  }
}
