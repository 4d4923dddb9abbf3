package org.skylarkfork.core.consensus;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Members;

/** Member changes by log index, so that truncating an entry restores the previous members. */
final class MembersHistory {

  private final List<Change> changes = new ArrayList<>();

  MembersHistory() {
    changes.add(new Change(0, Members.NONE));
  }

  /** Returns the members according to the latest change, committed or not. */
  Members latest() {
    return changes.get(changes.size() - 1).members;
  }

  /** Returns the index of the entry with the latest member change. */
  long latestIndex() {
    return changes.get(changes.size() - 1).index;
  }

  /** Returns the members that were in effect at an index. */
  Members at(long index) {
    Members members = changes.get(0).members;
    for (Change change : changes) {
      if (change.index <= index) {
        members = change.members;
      }
    }
    return members;
  }

  void appended(LogEntry entry) {
    if (entry.command() instanceof GroupCommand.ChangeMembers change) {
      changes.add(new Change(entry.index(), change.members()));
    }
  }

  void truncateFrom(long index) {
    changes.removeIf(change -> change.index >= index);
  }

  /** Replaces the changes that a snapshot covers by the snapshot's members. */
  void reset(long index, Members members) {
    changes.removeIf(change -> change.index <= index);
    changes.add(0, new Change(index, members));
  }

  private record Change(long index, Members members) {}
}
