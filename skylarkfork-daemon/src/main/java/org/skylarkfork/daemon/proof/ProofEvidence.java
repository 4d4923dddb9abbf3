package org.skylarkfork.daemon.proof;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.trace.TimelineRecord;
import org.skylarkfork.standin.load.LoadKind;
import org.skylarkfork.standin.load.LoadRecord;

/**
 * All that was seen in a run.
 *
 * @param teams the load's teams, by the index of their keys
 * @param records the callers' records
 * @param runs how often each key ran, over all upstreams; drafts under their last send only
 * @param timelines each daemon's time line in the order of its file
 * @param answers the operators' records
 * @param history accepted changes at the end: revision by change id
 * @param bars versions and upstreams that operators barred from new work
 * @param leavings upstreams that announced leaving
 * @param stops planned stops of daemons
 * @param inForce when revisions were seen to be in force everywhere, by revision
 * @param billed requests billed at the end, by team and kind
 * @param crashes whether daemons crashed, so that callers may have lost connections
 * @param unrecovered faults that the system did not recover from and invariants that broke
 * @param faults how many faults there were
 */
public record ProofEvidence(
    List<TeamFacts> teams,
    List<LoadRecord> records,
    Map<String, Integer> runs,
    Map<String, List<TimelineRecord>> timelines,
    List<OperatorAnswer> answers,
    Map<String, Long> history,
    List<Bar> bars,
    List<Leaving> leavings,
    List<PlannedStop> stops,
    Map<Long, Instant> inForce,
    Map<String, Map<LoadKind, Long>> billed,
    boolean crashes,
    List<String> unrecovered,
    int faults) {

  /**
   * A team of the load.
   *
   * @param name its name
   * @param versions versions that it allows, such as {@code ruling-small:2}
   */
  public record TeamFacts(String name, Set<String> versions) {}

  /**
   * A version or an upstream that an operator barred from new work.
   *
   * @param name the version or the upstream
   * @param version whether it is a version
   * @param fromChange id of the change that barred it
   * @param untilChange id of the change that took it back, or null if none did
   * @param untilSentAt when that change was sent, or null if none was
   */
  public record Bar(
      String name,
      boolean version,
      String fromChange,
      @Nullable String untilChange,
      @Nullable Instant untilSentAt) {}

  /**
   * An upstream that announced leaving.
   *
   * @param upstream its id
   * @param from when it did
   * @param until when it came back
   */
  public record Leaving(String upstream, Instant from, Instant until) {}

  /**
   * A planned stop of a daemon.
   *
   * @param node its name
   * @param from when it was asked for
   * @param until when the daemon had ended
   * @param whole whether the daemon said that all requests were finished
   */
  public record PlannedStop(String node, Instant from, Instant until, boolean whole) {}
}
