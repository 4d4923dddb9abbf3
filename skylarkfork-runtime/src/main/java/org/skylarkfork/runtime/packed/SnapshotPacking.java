package org.skylarkfork.runtime.packed;

import java.util.List;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.RelayState;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.runtime.codec.CodecException;

/** Packing of the snapshots of the relay's group. */
public final class SnapshotPacking implements Packing<Snapshot> {

  // Tags on the wire and on the disk; a tag is never reused for another record.
  private static final int EMPTY = 1;
  private static final int RELAY = 2;

  @Override
  public Class<Snapshot> type() {
    return Snapshot.class;
  }

  @Override
  public void write(Snapshot snapshot, PackedWriter out) {
    out.record(5).number(snapshot.index()).number(snapshot.term()).instant(snapshot.stampedAt());
    RaftValues.writeMembers(snapshot.members(), out);
    writeState(snapshot.state(), out);
  }

  @Override
  public Snapshot read(PackedReader in) {
    return in.record(
        5,
        from ->
            new Snapshot(
                from.number(),
                from.number(),
                from.instant(),
                RaftValues.readMembers(from),
                readState(from)));
  }

  private static void writeState(GroupState state, PackedWriter out) {
    if (state instanceof GroupState.Empty) {
      out.tagged(EMPTY, 0);
    } else if (state instanceof RelayState relay) {
      RelayValues.writeConfiguration(relay.configuration(), out.tagged(RELAY, 7));
      out.bytes(relay.document()).list(relay.rollOuts(), RelayValues::writeRollOut);
      RelayValues.writeRuns(relay.leaving(), out);
      out.list(relay.evacuations(), RelayValues::writeEvacuation)
          .list(relay.quarantined(), RelayValues::writeQuarantined);
    } else {
      throw new CodecException(
          CodecException.Kind.UNSUPPORTED, state.getClass() + " isn't a type of the relay", null);
    }
  }

  private static GroupState readState(PackedReader in) {
    return in.tagged((tag, components) -> readState(tag, components, in));
  }

  private static GroupState readState(
      int tag, PackedReader.Components components, PackedReader in) {
    switch (tag) {
      case EMPTY:
        return new GroupState.Empty();
      case RELAY:
        components.consume(4);
        return new RelayState(
            RelayValues.readConfiguration(in),
            in.bytes(),
            in.list(RelayValues::readRollOut),
            RelayValues.readRuns(in, components),
            components.consumeIfPresent() ? in.list(RelayValues::readEvacuation) : List.of(),
            components.consumeIfPresent() ? in.list(RelayValues::readQuarantined) : List.of());
      default:
        throw PackedReader.unknown("state", tag);
    }
  }
}
