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

/** Applies committed entries to the state machine in order and takes snapshots of it. */
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
    Invariants.check(snapshot.index() >= appliedIndex, "the state machine never goes back");
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
    if (saving == null && appliedIndex - snapshotIndex() >= replica.settings.snapshotEntries()) {
      takeSnapshot(context);
    }
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
   * Takes a snapshot, once all that it covers was given to the storage.
   *
   * <p>A replica that catches up applies more entries in one turn than lie between two snapshots.
   * Given the snapshot before these entries, the storage refused them as older than its log, and
   * the replica took no part until its next start: one more loss and nothing was served.
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

  /** Drops entries that a saved snapshot covers, but for some that lagging replicas may need. */
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
    replica.log.compact(index - replica.settings.trailingEntries());
  }
}
