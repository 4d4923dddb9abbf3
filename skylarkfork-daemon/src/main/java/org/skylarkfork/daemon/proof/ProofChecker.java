package org.skylarkfork.daemon.proof;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.standin.load.LoadKind;
import org.skylarkfork.standin.load.LoadOutcome;
import org.skylarkfork.standin.load.LoadRecord;

/** Checks each promise against the evidence of a run. */
public final class ProofChecker {

  private static final Set<LoadOutcome> MIXED =
      EnumSet.of(LoadOutcome.FOREIGN, LoadOutcome.CUT, LoadOutcome.DOUBLED);

  private final ProofEvidence evidence;
  private final TimelineChecks timelines;

  /**
   * Makes a checker.
   *
   * @param evidence what was seen
   */
  public ProofChecker(ProofEvidence evidence) {
    this.evidence = evidence;
    this.timelines = new TimelineChecks(evidence);
  }

  /** Checks all promises, in their order. */
  public List<PromiseResult> check() {
    return List.of(
        allowed(),
        timelines.withdrawn(),
        sessions(),
        billedOnce(),
        ownWhole(),
        notRun(),
        atMostOnce(),
        timelines.leaving(),
        timelines.plannedStops(),
        inForce(),
        races(),
        recovery());
  }

  private PromiseResult allowed() {
    Findings found = new Findings(Promise.ALLOWED);
    for (LoadRecord record : evidence.records()) {
      if (record.kind() == LoadKind.DRAFT && record.version() != null) {
        Set<String> versions = evidence.teams().get(record.team()).versions();
        found.check(
            versions.contains(record.version()), record.key() + " was answered by its version");
      }
    }
    timelines.allowed(found);
    return found.result();
  }

  /** A session may move only from a version that was barred at some time, and is told so. */
  private PromiseResult sessions() {
    Map<String, Set<String>> versions = new HashMap<>();
    Set<String> told = new HashSet<>();
    for (LoadRecord record : evidence.records()) {
      String version = record.version();
      if (record.session() == null || version == null) {
        continue;
      }
      String pin = record.session() + "/" + version.substring(0, version.indexOf(':'));
      versions.computeIfAbsent(pin, key -> new HashSet<>()).add(version);
      if (record.moved()) {
        told.add(pin);
      }
    }
    Findings found = new Findings(Promise.SESSION);
    versions.forEach(
        (pin, used) -> {
          boolean mayMove = used.stream().anyMatch(this::barred);
          found.check(
              used.size() == 1 || (mayMove && told.contains(pin)),
              pin + " had " + used + (told.contains(pin) ? "" : " and was not told"));
        });
    return found.result();
  }

  private boolean barred(String version) {
    return evidence.bars().stream().anyMatch(bar -> bar.version() && bar.name().equals(version));
  }

  /** The ledger may hold more than the whole answers only for requests whose end nobody knows. */
  private PromiseResult billedOnce() {
    Findings found = new Findings(Promise.BILLED_ONCE);
    for (int team = 0; team < evidence.teams().size(); team++) {
      for (LoadKind kind : LoadKind.values()) {
        billedOnce(team, kind, found);
      }
    }
    timelines.billedOnce(found);
    return found.result();
  }

  private void billedOnce(int team, LoadKind kind, Findings found) {
    String name = evidence.teams().get(team).name();
    long billed = evidence.billed().getOrDefault(name, Map.of()).getOrDefault(kind, 0L);
    List<LoadRecord> records =
        evidence.records().stream()
            .filter(record -> record.team() == team && record.kind() == kind)
            .toList();
    long whole = records.stream().filter(record -> record.outcome() == LoadOutcome.WHOLE).count();
    long unknown = records.stream().filter(ProofChecker::mayBeBilled).count();
    found.add(whole);
    found.check(
        billed >= whole && billed <= whole + unknown,
        name
            + " got "
            + whole
            + " whole answers of kind "
            + kind
            + ", "
            + unknown
            + " unknown ones and "
            + billed
            + " bills");
  }

  private static boolean mayBeBilled(LoadRecord record) {
    boolean refused = record.outcome() == LoadOutcome.NOT_RUN && record.lost() == 0;
    return record.outcome() != LoadOutcome.WHOLE && !refused;
  }

  private PromiseResult ownWhole() {
    Findings found = new Findings(Promise.OWN_WHOLE);
    for (LoadRecord record : evidence.records()) {
      boolean lost = record.outcome() == LoadOutcome.CONNECTION_LOST && !evidence.crashes();
      found.check(
          !MIXED.contains(record.outcome()) && !lost,
          record.key() + " ended as " + record.outcome() + " " + record.detail());
    }
    return found.result();
  }

  /** Only requests without a lost send, of which nobody said that it was not run. */
  private PromiseResult notRun() {
    Findings found = new Findings(Promise.NOT_RUN);
    for (LoadRecord record : evidence.records()) {
      if (record.outcome() == LoadOutcome.NOT_RUN && record.lost() == 0) {
        found.check(
            evidence.runs().getOrDefault(record.key(), 0) == 0,
            record.key() + " ran although it was refused as not run: " + record.detail());
      }
    }
    return found.result();
  }

  private PromiseResult atMostOnce() {
    Findings found = new Findings(Promise.AT_MOST_ONCE);
    for (LoadRecord record : evidence.records()) {
      if (record.kind() == LoadKind.ISSUE) {
        int runs = evidence.runs().getOrDefault(record.key(), 0);
        found.check(runs <= 1, record.key() + " ran " + runs + " times");
        found.check(
            record.outcome() != LoadOutcome.WHOLE || runs == 1,
            record.key() + " was answered without a run");
      }
    }
    return found.result();
  }

  private PromiseResult inForce() {
    Findings found = new Findings(Promise.IN_FORCE);
    for (OperatorAnswer answer : evidence.answers()) {
      if (answer.outcome() == OperatorAnswer.Outcome.ACCEPTED) {
        Long kept = evidence.history().get(answer.changeId());
        found.check(
            kept != null && kept == answer.revision(),
            answer.changeId() + " made revision " + answer.revision() + ", now it is " + kept);
      }
    }
    timelines.neverReverts(found);
    return found.result();
  }

  private PromiseResult races() {
    Findings found = new Findings(Promise.RACES);
    Map<Long, Set<String>> winners = new HashMap<>();
    Map<String, Set<Long>> revisions = new HashMap<>();
    for (OperatorAnswer answer : evidence.answers()) {
      if (answer.outcome() != OperatorAnswer.Outcome.ACCEPTED) {
        continue;
      }
      revisions.computeIfAbsent(answer.changeId(), id -> new HashSet<>()).add(answer.revision());
      if (answer.expected() != null) {
        winners
            .computeIfAbsent(answer.expected(), revision -> new HashSet<>())
            .add(answer.changeId());
      }
    }
    winners.forEach(
        (revision, won) -> found.check(won.size() == 1, won + " all won on revision " + revision));
    revisions.forEach(
        (change, made) -> found.check(made.size() == 1, change + " was answered with " + made));
    return found.result();
  }

  private PromiseResult recovery() {
    return new PromiseResult(
        Promise.RECOVERY, evidence.faults(), new ArrayList<>(evidence.unrecovered()));
  }
}
