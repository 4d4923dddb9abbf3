package org.skylarkfork.daemon.proof;

import static org.testng.Assert.assertEquals;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.skylarkfork.runtime.trace.TimelineRecord;
import org.skylarkfork.standin.load.LoadKind;
import org.skylarkfork.standin.load.LoadOutcome;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** A checker that overlooks a violation proves nothing, so each kind of violation is tried. */
public class ProofCheckerTest {

  private static final String LARGE = "large:1";
  private static final String ENGINE = "engine-1";

  @Test
  public void findsNothingInRunWithoutViolation() {
    assertEquals(violated(sample -> {}), EnumSet.noneOf(Promise.class));
  }

  /** Each row: what is wrong, the promise that it breaks, and how it gets into the evidence. */
  @DataProvider
  public Object[][] violations() {
    return new Object[][] {
      row("answer by a foreign model", Promise.ALLOWED, s -> whole(s, "other:1", null, false)),
      row(
          "dispatch to a foreign model",
          Promise.ALLOWED,
          s -> s.dispatched(3, "a", "other:1", ENGINE)),
      row("under the withdrawal", Promise.WITHDRAWN, s -> insert(s, 16, LARGE, ENGINE)),
      row("after it was in force", Promise.WITHDRAWN, s -> atOldEntry(s, LARGE, ENGINE)),
      row("session moves untold", Promise.SESSION, s -> session(s, LARGE, "large:2", false)),
      row(
          "session moves without a reason",
          Promise.SESSION,
          s -> {
            s.bars.remove(0);
            session(s, LARGE, "large:2", true);
          }),
      row("bill missing", Promise.BILLED_ONCE, s -> s.billedDrafts--),
      row("bill too many", Promise.BILLED_ONCE, s -> s.billedIssues++),
      row(
          "another kind billed in its place",
          Promise.BILLED_ONCE,
          s -> {
            s.billedDrafts--;
            s.billedIssues++;
          }),
      row(
          "request billed twice",
          Promise.BILLED_ONCE,
          s -> s.line(90, "request.billed", "draft-1", null, null, "")),
      row("foreign answer", Promise.OWN_WHOLE, s -> draft(s, LoadOutcome.FOREIGN)),
      row("cut answer", Promise.OWN_WHOLE, s -> draft(s, LoadOutcome.CUT)),
      row("doubled answer", Promise.OWN_WHOLE, s -> draft(s, LoadOutcome.DOUBLED)),
      row("lost without a crash", Promise.OWN_WHOLE, s -> draft(s, LoadOutcome.CONNECTION_LOST)),
      row(
          "refused as not run but ran",
          Promise.NOT_RUN,
          s -> {
            s.record(LoadKind.ISSUE, "issue-2", LoadOutcome.NOT_RUN, null);
            s.runs.put("issue-2", 1);
          }),
      row("ran twice", Promise.AT_MOST_ONCE, s -> s.runs.put("issue-1", 2)),
      row("answered without a run", Promise.AT_MOST_ONCE, s -> s.runs.clear()),
      row("work for the leaving", Promise.LEAVING, s -> s.dispatched(46, "a", LARGE, "engine-8")),
      row("work for the drained", Promise.LEAVING, s -> insert(s, 16, "large:2", "engine-9")),
      row("open at a planned stop", Promise.PLANNED_STOP, s -> s.received(72, "a")),
      row(
          "planned stop out of time",
          Promise.PLANNED_STOP,
          s ->
              s.stops.add(
                  new ProofEvidence.PlannedStop(
                      "vm-1", SampleEvidence.at(90), SampleEvidence.at(91), false))),
      row("accepted and lost", Promise.IN_FORCE, s -> s.answer("lost", null, 4)),
      row("accepted and moved", Promise.IN_FORCE, s -> s.history.put("reinstate", 4L)),
      row(
          "reverted",
          Promise.IN_FORCE,
          s -> s.line(90, "configuration.applied", "", null, null, "revision 2 after 3")),
      row("worked under an old revision", Promise.IN_FORCE, ProofCheckerTest::workAfterRestart),
      row(
          "two winners",
          Promise.RACES,
          s -> {
            s.answer("first", 3L, 4);
            s.answer("second", 3L, 5);
            s.history.put("first", 4L);
            s.history.put("second", 5L);
          }),
      row("resend answered anew", Promise.RACES, s -> s.answer("reinstate", null, 4)),
      row("invariant broke", Promise.RECOVERY, s -> s.unrecovered.add("vm-1 halted")),
    };
  }

  @Test(dataProvider = "violations")
  public void findsViolation(String name, Promise promise, Consumer<SampleEvidence> violation) {
    Set<Promise> found = violated(violation);
    assertEquals(found.contains(promise), true, name + " broke " + found);
  }

  /** A lost connection is excused by a crash, for the caller's entry may have been the one. */
  @Test
  public void excusesConnectionsLostInCrash() {
    Set<Promise> found =
        violated(
            sample -> {
              sample.crashes = true;
              draft(sample, LoadOutcome.CONNECTION_LOST);
            });
    assertEquals(found, EnumSet.noneOf(Promise.class));
  }

  /** A daemon crashes with a request open, starts again and is then stopped as planned. */
  @Test
  public void blamesCrashesNotTheStopAfterThem() {
    Set<Promise> found =
        violated(
            sample -> {
              sample.crashes = true;
              sample.received(5, "cut by the crash");
              List<TimelineRecord> lines = List.copyOf(sample.lines);
              TimelineRecord open = lines.get(lines.size() - 1);
              sample.lines.clear();
              sample.lines.add(open);
              sample.lines.addAll(lines.subList(0, lines.size() - 1));
            });
    assertEquals(found, EnumSet.noneOf(Promise.class));
  }

  private static Object[] row(String name, Promise promise, Consumer<SampleEvidence> violation) {
    return new Object[] {name, promise, violation};
  }

  private static Set<Promise> violated(Consumer<SampleEvidence> violation) {
    SampleEvidence sample = new SampleEvidence();
    violation.accept(sample);
    return new ProofChecker(sample.evidence())
        .check().stream()
            .filter(result -> !result.kept())
            .map(PromiseResult::promise)
            .collect(Collectors.toCollection(() -> EnumSet.noneOf(Promise.class)));
  }

  private static void draft(SampleEvidence sample, LoadOutcome outcome) {
    sample.record(LoadKind.DRAFT, "draft-9", outcome, LARGE);
  }

  private static void whole(SampleEvidence sample, String version, String session, boolean moved) {
    sample.record(LoadKind.DRAFT, "draft-9", LoadOutcome.WHOLE, version, session, moved);
    sample.billedDrafts++;
  }

  private static void session(SampleEvidence sample, String first, String second, boolean moved) {
    whole(sample, first, "session-1", false);
    whole(sample, second, "session-1", moved);
  }

  /** Puts a dispatch between the lines that apply revisions 2 and 3. */
  private static void insert(SampleEvidence sample, long second, String version, String upstream) {
    int applied = sample.lines.size();
    sample.dispatched(second, "inserted", version, upstream);
    var added = sample.lines.subList(applied, sample.lines.size());
    var moved = List.copyOf(added);
    added.clear();
    int place = 0;
    while (sample.lines.get(place).at().isBefore(SampleEvidence.at(second))) {
      place++;
    }
    sample.lines.addAll(place, moved);
    renumber(sample);
  }

  private static void renumber(SampleEvidence sample) {
    List<TimelineRecord> old = List.copyOf(sample.lines);
    sample.lines.clear();
    old.forEach(
        one ->
            sample.lines.add(
                new TimelineRecord(
                    one.node(),
                    sample.lines.size() + 1,
                    one.at(),
                    one.what(),
                    one.requestId(),
                    one.session(),
                    one.version(),
                    one.upstream(),
                    one.detail())));
  }

  /** An entry that never heard of the withdrawal dispatches after it was told to be in force. */
  private static void atOldEntry(SampleEvidence sample, String version, String upstream) {
    sample.lines.removeIf(line -> line.what().equals("configuration.applied"));
    insert(sample, 25, version, upstream);
  }

  /** A daemon starts again without its revision and takes work before it has one. */
  private static void workAfterRestart(SampleEvidence sample) {
    sample.lines.add(
        new TimelineRecord(
            "vm-1",
            1,
            SampleEvidence.at(90),
            "request.dispatched",
            "draft-9",
            null,
            LARGE,
            ENGINE,
            ""));
  }
}
