package org.skylarkfork.core.consensus;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.ConsensusEvent;

/** Applies committed entries to the state machine in log order and takes snapshots of it. */
final class Applier {

  private final Replica replica;
  private final StateMachine machine;
  private final Proposals proposals;
  private long appliedIndex;
  private @Nullable Snapshot saving;

  Applier(Replica replica, StateMachine machine, Proposals proposals) {
    this.replica = replica;
    this.machine = machine;
    this.proposals = proposals;
  }

  void restore(Snapshot snapshot, EventContext context) {
    Invariants.check(snapshot.index() >= appliedIndex, "the applied index never decreases");
    machine.restore(snapshot.state());
    appliedIndex = snapshot.index();
    context.raise(new ConsensusEvent.GroupRestored(replica.group, snapshot.index()));
  }

  void applyCommitted(EventContext context) {
    while (appliedIndex < replica.commitIndex()) {
      LogEntry entry = replica.log.entry(appliedIndex + 1);
      Invariants.check(entry.index() == appliedIndex + 1, "entries are applied in order");
      CommandResult result = apply(entry, context);
      appliedIndex = entry.index();
      proposals.applied(entry.index(), result, context);
    }
    if (saving == null && isSnapshotDue()) {
      takeSnapshot(context);
    }
  }

  private boolean isSnapshotDue() {
    RaftLimits limits = replica.settings.limits();
    long covered = snapshotIndex();
    return appliedIndex - covered >= limits.snapshotEntries()
        || replica.log.bytesBetween(covered, appliedIndex) >= limits.snapshotBytes();
  }

  private CommandResult apply(LogEntry entry, EventContext context) {
    CommandResult result = new CommandResult.Done();
    if (entry.command() instanceof GroupCommand.NoOperation) {
      return result;
    }
    if (!(entry.command() instanceof GroupCommand)) {
      result = machine.apply(entry.index(), entry.stampedAt(), entry.command());
    }
    if (entry.command() instanceof GroupCommand.ChangeMembers change) {
      String facts = "index=" + entry.index() + " " + change.members().describe();
      context.log(replica.group, "members_agreed", facts);
    }
    context.raise(
        new ConsensusEvent.CommandCommitted(
            replica.group, entry.index(), entry.stampedAt(), entry.command(), result));
    return result;
  }

  private long snapshotIndex() {
    Snapshot snapshot = replica.snapshot();
    return snapshot == null ? 0 : snapshot.index();
  }

  /**
   * Takes a snapshot once all entries that it covers have been passed to the storage.
   *
   * <p>A replica that catches up may apply more entries during one event than lie between two
   * snapshots. When the storage received the snapshot before these entries, it rejected them as
   * older than its log, and the replica was out of service until its next start, so that the loss
   * of one more replica made the group unavailable.
   */
  private void takeSnapshot(EventContext context) {
    if (appliedIndex > replica.durability.issuedIndex()) {
      return;
    }
    LogEntry last = replica.log.entry(appliedIndex);
    Snapshot snapshot =
        new Snapshot(
            last.index(),
            last.term(),
            last.stampedAt(),
            replica.members.at(last.index()),
            machine.snapshot());
    saving = snapshot;
    context.effect(new StorageEffect.SaveSnapshot(replica.group, snapshot));
  }

  /** Compacts the log up to a saved snapshot, but keeps some entries for lagging replicas. */
  void snapshotSaved(long index) {
    Snapshot snapshot = saving;
    if (snapshot == null || snapshot.index() != index) {
      return;
    }
    saving = null;
    if (index <= snapshotIndex()) {
      return;
    }
    replica.snapshotSaved(snapshot);
    RaftLimits limits = replica.settings.limits();
    replica.log.compact(
        replica.log.startOfTrailing(index, limits.trailingEntries(), limits.trailingBytes()));
  }
}
