package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.command.RelayResult;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.VersionTotals;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link RelayMachine}. */
public final class RelayMachineTest {

  private RelayMachine machine = new RelayMachine();

  /** Creates a new fixture for each test. */
  @BeforeMethod
  public void setUp() {
    machine = new RelayMachine();
  }

  private long index;

  private CommandResult apply(RelayCommand command) {
    return machine.apply(++index, RelayFixture.START, command);
  }

  private static RelayCommand put(long version, String document) {
    return new RelayCommand.PutConfiguration(
        RelayFixture.configuration(version, "key"), document.getBytes(StandardCharsets.UTF_8));
  }

  private String document() {
    RelayResult.ConfigurationRead read =
        (RelayResult.ConfigurationRead) apply(new RelayCommand.ReadConfiguration());
    return read.version() + " " + new String(read.document(), StandardCharsets.UTF_8);
  }

  /**
   * A configuration with a lower or equal version is accepted without effect: it may arrive late,
   * be resent, or have other content under the version in force.
   */
  @Test
  public void highestVersionWinsAndResendsChangeNothing() {
    apply(put(7, "seven"));
    for (RelayCommand superseded : new RelayCommand[] {put(5, "five"), put(7, "other")}) {
      assertEquals(apply(superseded), new RelayResult.ConfigurationAccepted(7));
      assertEquals(document(), "7 seven");
    }
    apply(put(9, "nine"));
    assertEquals(document(), "9 nine");
  }

  @Test
  public void rollOutBeginsOnceAndEndsOnce() {
    RelayCommand begin = new RelayCommand.BeginRollOut("service", "v2", 10_000);
    apply(begin);
    apply(new RelayCommand.AdvanceRollOut("service", "v2", RollOutPhase.ROLLED_BACK));
    apply(new RelayCommand.AdvanceRollOut("service", "v2", RollOutPhase.SUCCEEDED));
    apply(begin);
    assertEquals(machine.rollOuts().get(0).phase(), RollOutPhase.ROLLED_BACK);
  }

  private static RelayCommand trial(int sessionShare) {
    return new RelayCommand.AdvanceRollOut(
        "service", "v2", RollOutPhase.CANARY, 0, VersionTotals.NONE, sessionShare);
  }

  /** Guards against sessions that a late command sends back to the old version. */
  @Test
  public void shareOfSessionsOnlyGrows() {
    apply(new RelayCommand.BeginRollOut("service", "v2", 10_000));
    for (int share : new int[] {1000, 3000, 2000, 0}) {
      apply(trial(share));
    }
    assertEquals(machine.rollOuts().get(0).sessionShare(), 3000);
    apply(new RelayCommand.AdvanceRollOut("service", "v2", RollOutPhase.MOVING));
    apply(trial(5000));
    assertEquals(machine.rollOuts().get(0).phase(), RollOutPhase.MOVING);
  }

  @Test
  public void secondRollOutWaitsForTheFirst() {
    apply(new RelayCommand.BeginRollOut("service", "v2", 10_000));
    assertTrue(
        apply(new RelayCommand.BeginRollOut("service", "v3", 10_000))
            instanceof CommandResult.Rejected);
    apply(new RelayCommand.AdvanceRollOut("service", "v2", RollOutPhase.SUCCEEDED));
    apply(new RelayCommand.BeginRollOut("service", "v3", 10_000));
    assertEquals(machine.rollOuts().get(0).target(), "v3");
  }

  /**
   * Guards against a restarted upstream that gets no requests because an earlier run of the same id
   * announced that it leaves.
   */
  @Test
  public void laterRunIsNotLeaving() {
    apply(new RelayCommand.UpstreamLeaves(new UpstreamRun("up-1", 1000)));
    assertTrue(machine.isLeaving(new UpstreamRun("up-1", 999)));
    assertFalse(machine.isLeaving(new UpstreamRun("up-1", 1001)));
    apply(new RelayCommand.UpstreamLeaves(new UpstreamRun("up-1", 2000)));
    apply(new RelayCommand.UpstreamLeaves(new UpstreamRun("up-1", 1000)));
    assertTrue(
        machine.isLeaving(new UpstreamRun("up-1", 2000)), "an outdated command arrives again");
  }

  /**
   * An operator whose answer is lost resends the command to another control VM. The command is
   * idempotent, and the evacuation keeps its first time.
   */
  @Test
  public void evacuationCommandsAreIdempotent() {
    for (int repetition = 0; repetition < 2; repetition++) {
      assertEquals(apply(new RelayCommand.EvacuateZone("a")), new CommandResult.Done());
      index++;
    }
    apply(new RelayCommand.EvacuateZone("b"));
    assertEquals(
        apply(new RelayCommand.ReadEvacuations()),
        new RelayResult.EvacuationsRead(
            List.of(
                new Evacuation("a", RelayFixture.START), new Evacuation("b", RelayFixture.START))));
    for (int repetition = 0; repetition < 2; repetition++) {
      assertEquals(apply(new RelayCommand.TakeZoneBack("a")), new CommandResult.Done());
    }
    assertEquals(machine.evacuations(), List.of(new Evacuation("b", RelayFixture.START)));
  }

  /** Quarantine commands are idempotent, and the list is bounded. */
  @Test
  public void quarantineCommandsAreIdempotentAndBounded() {
    RequestKey first = new RequestKey("team", 0);
    for (int repetition = 0; repetition < 2; repetition++) {
      apply(new RelayCommand.QuarantineRequest(first));
    }
    assertEquals(
        apply(new RelayCommand.ReadQuarantine()),
        new RelayResult.QuarantineRead(List.of(new QuarantinedRequest(first, RelayFixture.START))));
    for (int repetition = 0; repetition < 2; repetition++) {
      assertEquals(apply(new RelayCommand.LiftQuarantine(first)), new CommandResult.Done());
    }
    assertEquals(machine.quarantined(), List.of());
    for (long content = 0; content < 300; content++) {
      apply(new RelayCommand.QuarantineRequest(new RequestKey("team", content)));
    }
    assertEquals(machine.quarantined().size(), 256);
    assertEquals(machine.quarantined().get(255).key().content(), 299);
  }

  @Test
  public void snapshotHoldsEverything() {
    apply(put(3, "three"));
    apply(new RelayCommand.EvacuateZone("a"));
    apply(new RelayCommand.QuarantineRequest(new RequestKey("team", 7)));
    apply(new RelayCommand.BeginRollOut("service", "v2", 10_000));
    apply(new RelayCommand.UpstreamLeaves(new UpstreamRun("up-1", 0)));
    RelayMachine other = new RelayMachine();
    other.restore(machine.snapshot());
    assertEquals(other.configuration(), machine.configuration());
    assertEquals(other.rollOuts(), machine.rollOuts());
    assertEquals(other.evacuations(), machine.evacuations());
    assertEquals(other.quarantined(), machine.quarantined());
    assertEquals(other.quarantined().size(), 1);
    assertTrue(other.isLeaving(new UpstreamRun("up-1", 0)));
  }
}
