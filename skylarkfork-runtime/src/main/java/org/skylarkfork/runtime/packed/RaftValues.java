package org.skylarkfork.runtime.packed;

import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;

/** Packing of the values that a replicated group stores and sends to its members. */
public final class RaftValues {

  private RaftValues() {}

  /** Writes a group's id. */
  public static void writeGroup(GroupId group, PackedWriter out) {
    out.record(2).text(group.name()).number(group.shard());
  }

  /** Reads a group's id. */
  public static GroupId readGroup(PackedReader in) {
    return in.record(2, from -> new GroupId(from.text(), from.smallNumber()));
  }

  private static void writeMember(Member member, PackedWriter out) {
    out.record(2).text(member.node()).number(member.instance());
  }

  private static Member readMember(PackedReader in) {
    return in.record(2, from -> new Member(from.text(), from.number()));
  }

  static void writeMembers(Members members, PackedWriter out) {
    out.record(2)
        .list(members.voters(), RaftValues::writeMember)
        .list(members.learners(), RaftValues::writeMember);
  }

  static Members readMembers(PackedReader in) {
    return in.record(
        2,
        from -> new Members(from.list(RaftValues::readMember), from.list(RaftValues::readMember)));
  }

  /** Writes the hard state: term, vote and instance. */
  public static void writeHardState(HardState state, PackedWriter out) {
    out.record(3).number(state.term()).optionalText(state.votedFor()).number(state.instance());
  }

  /** Reads the hard state: term, vote and instance. */
  public static HardState readHardState(PackedReader in) {
    return in.record(3, from -> new HardState(from.number(), from.optionalText(), from.number()));
  }

  /** Writes a log entry. */
  public static void writeEntry(LogEntry entry, PackedWriter out) {
    out.record(4).number(entry.index()).number(entry.term()).instant(entry.stampedAt());
    CommandPacking.writeCommand(entry.command(), out);
  }

  /** Reads a log entry. */
  public static LogEntry readEntry(PackedReader in) {
    return in.record(
        4,
        from ->
            new LogEntry(
                from.number(), from.number(), from.instant(), CommandPacking.readCommand(from)));
  }
}
