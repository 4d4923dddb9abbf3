package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.OperatorEffect.RevisionSummary;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.event.OperatorEvent;

/** Answers operators' queries from the replica on this daemon. */
final class ReplicaReader {

  private static final int MAX_SUMMARIES = 200;

  private final LocalReplica replica;
  private final InForceTracker inForce;

  ReplicaReader(LocalReplica replica, InForceTracker inForce) {
    this.replica = replica;
    this.inForce = inForce;
  }

  /**
   * Returns the answer, or null if only the leader can answer.
   *
   * @param allowStale whether an answer may lack the newest changes, as when there is no leader
   */
  @Nullable OperatorEffect answer(OperatorEvent call, boolean allowStale, Instant now) {
    if (call instanceof OperatorEvent.InForceRequested requested) {
      return inForce(requested, now);
    }
    return allowStale || replica.leaderLease().holds(now) ? read(call) : null;
  }

  private OperatorEffect read(OperatorEvent call) {
    if (call instanceof OperatorEvent.RevisionRequested requested) {
      return revision(requested);
    }
    if (call instanceof OperatorEvent.HistoryRequested requested) {
      return history(requested);
    }
    if (call instanceof OperatorEvent.DifferenceRequested requested) {
      return difference(requested);
    }
    return OperatorAnswers.refuse(call.callId(), ErrorKind.BAD_REQUEST, "send this to any entry");
  }

  private OperatorEffect revision(OperatorEvent.RevisionRequested requested) {
    Optional<Configuration> found = replica.machine().at(requested.revision());
    return found.isPresent()
        ? new OperatorEffect.SendConfiguration(requested.callId(), found.get())
        : missing(requested.callId(), requested.revision());
  }

  private OperatorEffect missing(String callId, long revision) {
    ConfigurationMachine machine = replica.machine();
    return OperatorAnswers.refuse(
        callId,
        ErrorKind.NOT_FOUND,
        "revision "
            + revision
            + " is not there; the history holds "
            + machine.oldestRevision()
            + " to "
            + machine.configuration().revision());
  }

  private OperatorEffect history(OperatorEvent.HistoryRequested requested) {
    List<RevisionEntry> entries = replica.machine().history();
    int limit = Math.max(1, Math.min(requested.most(), MAX_SUMMARIES));
    List<RevisionSummary> found = new ArrayList<>();
    for (int index = entries.size() - 1; index >= 0 && found.size() < limit; index--) {
      RevisionEntry entry = entries.get(index);
      if (requested.before() <= 0 || entry.revision() < requested.before()) {
        found.add(
            new RevisionSummary(
                entry.revision(),
                entry.changeId(),
                entry.operator(),
                entry.acceptedAt(),
                entry.change()));
      }
    }
    return new OperatorEffect.SendHistory(
        requested.callId(), found, replica.machine().oldestRevision());
  }

  private OperatorEffect difference(OperatorEvent.DifferenceRequested requested) {
    Optional<Configuration> from = replica.machine().at(requested.from());
    Optional<Configuration> to = replica.machine().at(requested.to());
    if (from.isEmpty() || to.isEmpty()) {
      return missing(requested.callId(), from.isEmpty() ? requested.from() : requested.to());
    }
    return new OperatorEffect.SendDifference(
        requested.callId(), ConfigurationStep.between(from.get(), to.get()));
  }

  private @Nullable OperatorEffect inForce(OperatorEvent.InForceRequested requested, Instant now) {
    if (!replica.leaderLease().holds(now)) {
      return null;
    }
    if (requested.revision() < 0
        || requested.revision() > replica.machine().configuration().revision()) {
      return missing(requested.callId(), requested.revision());
    }
    return inForce.status(requested.callId(), requested.revision(), now);
  }
}
