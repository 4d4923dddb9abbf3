package org.skylarkfork.runtime.storage;

import org.skylarkfork.runtime.packed.PackedReader;
import org.skylarkfork.runtime.packed.PackedWriter;
import org.skylarkfork.runtime.packed.Packing;
import org.skylarkfork.runtime.packed.RaftValues;

/** Encodes and decodes the first record of a segment; hand-written codec. */
final class SegmentStartPacking implements Packing<SegmentStart> {

  @Override
  public Class<SegmentStart> type() {
    return SegmentStart.class;
  }

  @Override
  public void write(SegmentStart start, PackedWriter out) {
    RaftValues.writeGroup(start.group(), out.record(3));
    out.number(start.number()).optional(start.hardState(), RaftValues::writeHardState);
  }

  @Override
  public SegmentStart read(PackedReader in) {
    return in.record(
        3,
        from ->
            new SegmentStart(
                RaftValues.readGroup(from),
                from.number(),
                from.optional(RaftValues::readHardState)));
  }
}
