package org.skylarkfork.runtime.storage;

import java.util.Arrays;
import org.skylarkfork.runtime.packed.PackedReader;
import org.skylarkfork.runtime.packed.PackedWriter;
import org.skylarkfork.runtime.packed.Packing;
import org.skylarkfork.runtime.packed.RaftValues;

/** Encodes and decodes the records of log segments; hand-written codec. */
final class LogWritesPacking implements Packing<LogWrite[]> {

  @Override
  public Class<LogWrite[]> type() {
    return LogWrite[].class;
  }

  @Override
  public void write(LogWrite[] writes, PackedWriter out) {
    out.list(Arrays.asList(writes), LogWritesPacking::writeOne);
  }

  private static void writeOne(LogWrite write, PackedWriter out) {
    out.record(3)
        .optional(write.hardState(), RaftValues::writeHardState)
        .number(write.truncateFrom())
        .list(write.entries(), RaftValues::writeEntry);
  }

  @Override
  public LogWrite[] read(PackedReader in) {
    return in.list(LogWritesPacking::readOne).toArray(LogWrite[]::new);
  }

  private static LogWrite readOne(PackedReader in) {
    return in.record(
        3,
        from ->
            new LogWrite(
                from.optional(RaftValues::readHardState),
                from.number(),
                from.list(RaftValues::readEntry)));
  }
}
