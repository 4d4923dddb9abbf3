package org.skylarkfork.core.consensus;

import java.util.List;
import org.skylarkfork.core.Invariants;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.message.RaftMessage.AppendRequest;
import org.skylarkfork.core.message.RaftMessage.AppendResponse;

/**
 * Follower-side log replication: matches the log to the leader's and acknowledges synced entries.
 */
final class FollowerLog {

  private final Replica replica;

  FollowerLog(Replica replica) {
    this.replica = replica;
  }

  /**
   * Appends entries from the current leader, or rejects them if the logs don't match before them.
   */
  void onAppend(String from, AppendRequest request, EventContext context) {
    long previous = request.previousIndex();
    if (previous > replica.log.lastIndex()) {
      reject(from, request, replica.log.lastIndex(), context);
      return;
    }
    boolean consistent = previous <= replica.commitIndex();
    if (!consistent && replica.log.termAt(previous) != request.previousTerm()) {
      reject(from, request, replica.commitIndex(), context);
      return;
    }
    boolean appended = append(request.entries());
    long matched = previous + request.entries().size();
    long committed = Math.min(request.commitIndex(), matched);
    if (committed > replica.commitIndex()) {
      replica.commit(committed);
    }
    if (appended) {
      replica.durability.sendAfterAll(
          from, replica.term(), response(request, true, matched), context);
    } else {
      long synced = Math.min(matched, replica.durability.syncedIndex());
      replica.durability.sendAfterHardState(
          from, replica.term(), response(request, true, synced), context);
    }
  }

  private boolean append(List<LogEntry> entries) {
    boolean appended = false;
    for (LogEntry entry : entries) {
      if (entry.index() <= replica.log.baseIndex()) {
        continue;
      }
      long present = replica.log.termAt(entry.index());
      if (present == entry.term()) {
        continue;
      }
      if (present != RaftLog.UNKNOWN_TERM) {
        Invariants.check(
            entry.index() > replica.commitIndex(), "a leader has all committed entries");
        replica.truncateFrom(entry.index());
      }
      replica.append(entry);
      appended = true;
    }
    return appended;
  }

  /** Rejects entries because the logs don't match before them. */
  void reject(String from, AppendRequest request, long index, EventContext context) {
    replica.durability.sendAfterHardState(
        from, replica.term(), response(request, false, index), context);
  }

  private AppendResponse response(AppendRequest request, boolean matched, long index) {
    return new AppendResponse(
        replica.group, replica.term(), replica.instance(), matched, index, request.sentAt());
  }
}
