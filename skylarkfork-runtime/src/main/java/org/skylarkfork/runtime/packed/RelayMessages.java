package org.skylarkfork.runtime.packed;

import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.SharedState;
import org.skylarkfork.core.message.RelayMessage.UpstreamHeard;

/** The messages between entries and control VMs. */
final class RelayMessages {

  /** Tags from here on are the relay's; those below are the replicated group's. */
  static final int FIRST_TAG = 32;

  // Numbers on the wire; each is used once and never for another record.
  private static final int ENTRY_POLL = FIRST_TAG;
  private static final int ENTRY_UPDATE = 33;
  private static final int UPSTREAM_HEARD = 34;

  private static final int POLL_COMPONENTS = 12;
  private static final int UPDATE_COMPONENTS = 7;

  private RelayMessages() {}

  static void write(RelayMessage message, PackedWriter out) {
    if (message instanceof EntryPoll poll) {
      writePoll(poll, out);
    } else if (message instanceof EntryUpdate update) {
      writeUpdate(update, out);
    } else if (message instanceof UpstreamHeard heard) {
      RelayValues.writeInstance(heard.instance(), out.tagged(UPSTREAM_HEARD, 1));
    }
  }

  static RelayMessage read(int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case ENTRY_POLL:
        components.take(POLL_COMPONENTS);
        return readPoll(in);
      case ENTRY_UPDATE:
        components.take(UPDATE_COMPONENTS);
        return readUpdate(in);
      case UPSTREAM_HEARD:
        components.take(1);
        return new UpstreamHeard(RelayValues.readInstance(in));
      default:
        throw PackedReader.unknown("message", tag);
    }
  }

  private static void writePoll(EntryPoll poll, PackedWriter out) {
    out.tagged(ENTRY_POLL, POLL_COMPONENTS)
        .text(poll.callerAddress())
        .text(poll.zone())
        .flag(poll.serving())
        .number(poll.incarnation())
        .moment(poll.sentAt())
        .number(poll.version())
        .number(poll.stateIndex())
        .number(poll.directoryEpoch())
        .number(poll.directorySequence())
        .flag(poll.searching())
        .flag(poll.busy())
        .list(poll.counts(), RelayValues::writeCounts);
  }

  private static EntryPoll readPoll(PackedReader in) {
    return new EntryPoll(
        in.text(),
        in.text(),
        in.flag(),
        in.number(),
        in.moment(),
        in.number(),
        in.number(),
        in.number(),
        in.number(),
        in.flag(),
        in.flag(),
        in.list(RelayValues::readCounts));
  }

  private static void writeUpdate(EntryUpdate update, PackedWriter out) {
    out.tagged(ENTRY_UPDATE, UPDATE_COMPONENTS)
        .optional(update.provenAt(), (moment, to) -> to.moment(moment))
        .number(update.stateIndex())
        .optional(update.configuration(), RelayValues::writeConfiguration)
        .optional(update.shared(), RelayMessages::writeShared);
    writeDirectory(update.directory(), out);
    out.list(update.controlNodes(), (node, to) -> to.text(node)).number(update.entries());
  }

  private static EntryUpdate readUpdate(PackedReader in) {
    return new EntryUpdate(
        in.optional(PackedReader::moment),
        in.number(),
        in.optional(RelayValues::readConfiguration),
        in.optional(RelayMessages::readShared),
        readDirectory(in),
        in.list(PackedReader::text),
        in.smallNumber());
  }

  private static void writeShared(SharedState shared, PackedWriter out) {
    out.record(3).list(shared.rollOuts(), RelayValues::writeRollOut);
    RelayValues.writeRuns(shared.leaving(), out);
  }

  private static SharedState readShared(PackedReader in) {
    return in.grownRecord(
        2,
        (from, more) ->
            new SharedState(from.list(RelayValues::readRollOut), RelayValues.readRuns(from, more)));
  }

  private static void writeDirectory(DirectoryChanges changes, PackedWriter out) {
    out.record(5)
        .number(changes.epoch())
        .number(changes.sequence())
        .flag(changes.whole())
        .flag(changes.settled())
        .list(changes.upstreams(), RelayValues::writeStatus);
  }

  private static DirectoryChanges readDirectory(PackedReader in) {
    return in.record(
        5,
        from ->
            new DirectoryChanges(
                from.number(),
                from.number(),
                from.flag(),
                from.flag(),
                from.list(RelayValues::readStatus)));
  }
}
