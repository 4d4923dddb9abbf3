package org.skylarkfork.runtime.packed;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.rollout.AttemptCounts;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.rollout.VersionCounts;
import org.skylarkfork.core.rollout.VersionTotals;
import org.testng.annotations.Test;

/** Tests that daemons of different versions read each other's roll-outs. */
public final class RollOutPackingTest {

  private static final int ADVANCE_ROLL_OUT = 19;

  private static final ServiceRollOut ROLL_OUT =
      new ServiceRollOut(
          "service",
          "v3",
          16_000,
          RollOutPhase.MOVING,
          42,
          new VersionTotals(1000, 10, 99_000),
          List.of("v2"),
          2500);

  private static final VersionCounts COUNTS =
      new VersionCounts("service", "v3", 100, 2, 9800, new AttemptCounts(110, 9, 8, 700, 1, 60));

  private final PackedCodec codec = new PackedCodec(List.of(new CommandPacking()));

  private static byte[] pack(ServiceRollOut rollOut) {
    PackedWriter out = new PackedWriter();
    RelayValues.writeRollOut(rollOut, out);
    return out.toBytes();
  }

  private static byte[] pack(VersionCounts counts) {
    PackedWriter out = new PackedWriter();
    RelayValues.writeCounts(counts, out);
    return out.toBytes();
  }

  @Test
  public void rollOutRoundTrips() {
    assertEquals(RelayValues.readRollOut(new PackedReader(pack(ROLL_OUT))), ROLL_OUT);
  }

  /** Guards against a control VM that can't read the roll-outs on the disk of an older version. */
  @Test
  public void rollOutOfAnOlderVersionIsRead() {
    PackedWriter out = new PackedWriter();
    out.record(4).text("service").text("v3").number(16_000).text("MOVING");
    ServiceRollOut read = RelayValues.readRollOut(new PackedReader(out.toBytes()));
    assertEquals(read, new ServiceRollOut("service", "v3", 16_000, RollOutPhase.MOVING));
  }

  /** Guards against an older entry that drops its connection because of a component it ignores. */
  @Test
  public void olderVersionReadsRollOut() {
    PackedReader in = new PackedReader(pack(ROLL_OUT));
    String known =
        in.record(4, from -> from.text() + from.text() + " " + from.number() + from.text());
    assertEquals(known, "servicev3 16000MOVING");
    in.expectEnd();
  }

  /** Guards against a log whose commands of an older version end the daemon that reads them. */
  @Test
  public void commandOfAnOlderVersionIsRead() {
    PackedWriter out = new PackedWriter();
    out.tagged(ADVANCE_ROLL_OUT, 3).text("service").text("v3").text("MOVING");
    assertEquals(
        codec.fromBytes(out.toBytes(), Command.class),
        new RelayCommand.AdvanceRollOut("service", "v3", RollOutPhase.MOVING));
  }

  /** Guards against a replica of an older version that can't apply a new leader's command. */
  @Test
  public void olderVersionReadsCommand() {
    RelayCommand command =
        new RelayCommand.AdvanceRollOut(
            "service", "v3", RollOutPhase.MOVING, 42, new VersionTotals(1000, 10, 99_000));
    PackedReader in = new PackedReader(codec.toBytes(command));
    String known =
        in.tagged(
            (tag, components) -> {
              components.consume(3);
              return tag + in.text() + in.text() + in.text();
            });
    assertEquals(known, ADVANCE_ROLL_OUT + "servicev3MOVING");
    in.expectEnd();
  }

  @Test
  public void commandRoundTrips() {
    RelayCommand command =
        new RelayCommand.AdvanceRollOut(
            "service", "v3", RollOutPhase.CANARY, 42, VersionTotals.NONE, 2500);
    assertEquals(codec.fromBytes(codec.toBytes(command), Command.class), command);
  }

  @Test
  public void countsRoundTrip() {
    assertEquals(RelayValues.readCounts(new PackedReader(pack(COUNTS))), COUNTS);
  }

  /** Guards against a leader that drops the polls of older entries. */
  @Test
  public void countsOfAnOlderVersionAreRead() {
    PackedWriter out = new PackedWriter();
    out.record(5).text("service").text("v3").number(100).number(2).number(9800);
    assertEquals(
        RelayValues.readCounts(new PackedReader(out.toBytes())),
        new VersionCounts("service", "v3", 100, 2, 9800));
  }

  /** Guards against a leader of an older version that drops the polls of newer entries. */
  @Test
  public void olderVersionReadsCounts() {
    PackedReader in = new PackedReader(pack(COUNTS));
    String known =
        in.record(
            5,
            from ->
                from.text()
                    + from.text()
                    + " "
                    + from.number()
                    + " "
                    + from.number()
                    + " "
                    + from.number());
    assertEquals(known, "servicev3 100 2 9800");
    in.expectEnd();
  }
}
