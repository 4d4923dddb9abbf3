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

/** Answers operators' questions from the replica on this daemon. */
final class ReplicaReader {

  private static final int MOST_SUMMARIES = 200;

  private final LocalReplica replica;
  private final InForce inForce;

  ReplicaReader(LocalReplica replica, InForce inForce) {
    this.replica = replica;
    this.inForce = inForce;
  }

  /**
   * Returns the answer, or null if the leader must give it.
   *
   * @param mayBeOld whether an answer without the newest changes will do, as when nobody leads
   */
  @Nullable OperatorEffect answer(OperatorEvent call, boolean mayBeOld, Instant now) {
    if (call instanceof OperatorEvent.InForceRequested wanted) {
      return inForce(wanted, now);
    }
    return mayBeOld || replica.leaderLease().holds(now) ? read(call) : null;
  }

  private OperatorEffect read(OperatorEvent call) {
    if (call instanceof OperatorEvent.RevisionRequested wanted) {
      return revision(wanted);
    }
    if (call instanceof OperatorEvent.HistoryRequested wanted) {
      return history(wanted);
    }
    if (call instanceof OperatorEvent.DifferenceRequested wanted) {
      return difference(wanted);
    }
    return OperatorAnswers.refuse(call.callId(), ErrorKind.BAD_REQUEST, "send this to any entry");
  }

  private OperatorEffect revision(OperatorEvent.RevisionRequested wanted) {
    Optional<Configuration> found = replica.machine().at(wanted.revision());
    return found.isPresent()
        ? new OperatorEffect.SendConfiguration(wanted.callId(), found.get())
        : missing(wanted.callId(), wanted.revision());
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

  private OperatorEffect history(OperatorEvent.HistoryRequested wanted) {
    List<RevisionEntry> entries = replica.machine().history();
    int most = Math.max(1, Math.min(wanted.most(), MOST_SUMMARIES));
    List<RevisionSummary> found = new ArrayList<>();
    for (int index = entries.size() - 1; index >= 0 && found.size() < most; index--) {
      RevisionEntry entry = entries.get(index);
      if (wanted.before() <= 0 || entry.revision() < wanted.before()) {
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
        wanted.callId(), found, replica.machine().oldestRevision());
  }

  private OperatorEffect difference(OperatorEvent.DifferenceRequested wanted) {
    Optional<Configuration> from = replica.machine().at(wanted.from());
    Optional<Configuration> to = replica.machine().at(wanted.to());
    if (from.isEmpty() || to.isEmpty()) {
      return missing(wanted.callId(), from.isEmpty() ? wanted.from() : wanted.to());
    }
    return new OperatorEffect.SendDifference(
        wanted.callId(), ConfigurationStep.between(from.get(), to.get()));
  }

  private @Nullable OperatorEffect inForce(OperatorEvent.InForceRequested wanted, Instant now) {
    if (!replica.leaderLease().holds(now)) {
      return null;
    }
    if (wanted.revision() < 0 || wanted.revision() > replica.machine().configuration().revision()) {
      return missing(wanted.callId(), wanted.revision());
    }
    return inForce.status(wanted.callId(), wanted.revision(), now);
  }
}
