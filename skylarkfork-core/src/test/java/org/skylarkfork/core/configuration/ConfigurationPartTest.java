package org.skylarkfork.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.OperatorEffect.AwaitedEntry;
import org.skylarkfork.core.effect.OperatorEffect.SendInForce;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.message.ConfigurationMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConfigurationPart} with several daemons. */
public class ConfigurationPartTest {

  private static final ConfigurationChange WITHDRAW =
      new ConfigurationChange.WithdrawVersion(Samples.DRAFT_2, null);
  private static final ConfigurationChange LOAD =
      new ConfigurationChange.ReplaceAll(Samples.configuration(4, 4));

  private SimulatedDaemons daemons;

  /** Starts three voters and six entries, and loads a configuration. */
  @BeforeMethod
  public void start() {
    daemons = new SimulatedDaemons(7, 6);
    daemons.run(Duration.ofSeconds(6));
    daemons.change("load", LOAD);
    daemons.awaitInForce(1);
  }

  private SimulatedDaemons.Daemon daemon(String name) {
    return daemons.byName.get(name);
  }

  /** A change reaches every daemon and is in force well before the leases run out. */
  @Test
  public void changeIsInForceOnceAllAcknowledged() {
    daemons.byName.values().forEach(daemon -> assertTrue(daemon.serves(), daemon.name));
    daemons.change("w", WITHDRAW);
    Duration elapsed = daemons.awaitInForce(2);
    assertTrue(elapsed.compareTo(Duration.ofMillis(500)) < 0, elapsed.toString());
    daemons.byName.values().forEach(daemon -> assertEquals(daemon.revision(), 2, daemon.name));
    assertTrue(daemon("e15").part.teamByKeyHash(Samples.hash("team3")).isPresent());
  }

  /** A daemon takes no new work before it has a configuration and a lease. */
  @Test
  public void restartedEntryServesOnlyWithCurrentRevision() {
    daemon("e12").restart();
    daemons.change("w", WITHDRAW);
    assertFalse(daemon("e12").serves());
    daemons.run(Duration.ofSeconds(3));
    assertTrue(daemon("e12").serves());
    assertEquals(daemon("e12").revision(), 2);
  }

  /**
   * An entry is cut off in silence while it serves, its clock being the slowest that is allowed; a
   * version is withdrawn. The operator must not be told "in force" before the entry has stopped,
   * and must be told which entry is awaited and until when. Daemons checks the order at each tick.
   */
  @Test
  public void isolatedEntryStopsServingBeforeChangeIsInForce() {
    daemon("e10").clockRate = 0.996;
    daemon("v1").clockRate = 1.005;
    daemons.run(Duration.ofSeconds(4));
    daemons.isolated.add("e10");
    daemons.change("w", WITHDRAW);
    daemons.run(Duration.ofSeconds(1));
    SendInForce status = daemons.status(2);
    assertNotNull(status);
    assertFalse(status.inForce());
    assertEquals(status.awaited().stream().map(AwaitedEntry::node).toList(), List.of("e10"));
    assertTrue(daemon("e10").serves());
    assertEquals(daemon("e10").revision(), 1);
    Duration elapsed = daemons.awaitInForce(2);
    assertFalse(daemon("e10").serves());
    assertTrue(elapsed.compareTo(Duration.ofSeconds(5)) < 0, elapsed.toString());
  }

  /**
   * The entry hears the leader but newer revisions don't reach it. Grants alone must not keep it
   * serving: they name the leader's revision, so its lease runs out like that of a silent entry.
   */
  @Test
  public void leaseGrantsAloneDoNotKeepStaleEntryServing() {
    daemons.dropped =
        message ->
            message instanceof ConfigurationMessage.Push
                || message instanceof ConfigurationMessage.CopyChunk;
    daemons.change("w", WITHDRAW);
    daemons.run(Duration.ofSeconds(6));
    assertFalse(daemon("e10").serves());
    assertEquals(daemon("e10").revision(), 1);
    daemons.dropped = message -> false;
    daemons.awaitInForce(2);
    daemons.run(Duration.ofSeconds(3));
    assertTrue(daemon("e10").serves());
  }

  /**
   * The old leader's leases are unknown to a new one. An entry that only the old leader could reach
   * still serves under revision 1 when revision 2 is accepted; the new leader sees nobody behind
   * and would call it in force at once, had it not to wait for one longest lease.
   */
  @Test
  public void newLeaderWaitsForLeasesOfPreviousLeader() {
    daemons.run(Duration.ofSeconds(2));
    daemons.isolated.addAll(Set.of("v1", "e10", "e11", "e12"));
    daemons.lead(null);
    daemons.lead("v2");
    daemons.change("w", WITHDRAW);
    SendInForce status = daemons.status(2);
    assertNotNull(status);
    assertFalse(status.inForce());
    assertNotNull(status.unknownUntil());
    assertTrue(daemon("e10").serves());
    daemons.awaitInForce(2);
    assertFalse(daemon("e10").serves());
    assertFalse(daemon("v1").serves());
  }

  /**
   * Entry e10 passes leases on to e13, e14 and e15. It restarts and forgets them while they are cut
   * off, and has no subscriber when a version is withdrawn. If it acknowledged for itself at once,
   * the leader would call the withdrawal in force while the three still serve under revision 1.
   */
  @Test
  public void restartedRelayAcknowledgesOnlyAfterItsEarlierLeasesExpire() {
    daemons.run(Duration.ofSeconds(40)); // until each is back at its preferred source
    daemons.isolated.addAll(Set.of("e13", "e14", "e15"));
    daemon("e10").restart();
    daemons.run(Duration.ofMillis(500));
    assertTrue(daemon("e10").serves());
    daemons.change("w", WITHDRAW);
    daemons.run(Duration.ofMillis(500));
    assertEquals(daemon("e10").revision(), 2);
    assertTrue(daemon("e13").serves());
    daemons.awaitInForce(2);
    assertFalse(daemon("e13").serves());
  }

  /** With the quorum lost, entries stop after one lease, and serve again once it is back. */
  @Test
  public void entriesStopServingWithoutLeaderAndResumeWithOne() {
    daemons.lead(null);
    daemons.run(Duration.ofSeconds(6));
    daemons.byName.values().forEach(daemon -> assertFalse(daemon.serves(), daemon.name));
    daemons.lead("v3");
    daemons.run(Duration.ofSeconds(4));
    daemons.byName.values().forEach(daemon -> assertTrue(daemon.serves(), daemon.name));
  }

  /**
   * Time goes backwards on an entry, as when its clock is set. The lease would last longer there
   * than the leader counts, so it ends at once and is asked for anew.
   */
  @Test
  public void backwardClockStepEndsLease() {
    SimulatedDaemons.Daemon entry = daemon("e10");
    entry.clockRate = 0.9;
    entry.apply(new LifecycleEvent.Tick());
    assertFalse(entry.serves());
  }

  /**
   * A control VM restarts, gets the newest revision from the leader, and only then applies its own
   * log from the start. The old revisions on its way must not replace the newer one.
   */
  @Test
  public void replicaReplayingItsLogNeverReverts() {
    daemons.change("w", WITHDRAW);
    daemons.awaitInForce(2);
    SimulatedDaemons.Daemon voter = daemon("v2");
    voter.logDelayed = true;
    voter.restart();
    daemons.lead("v1");
    daemons.run(Duration.ofMillis(200));
    assertEquals(voter.revision(), 2);
    voter.catchUp();
    assertEquals(voter.revision(), 2);
  }

  /** A lost step is noticed by the next one and asked for at once, not at the next renewal. */
  @Test
  public void missingStepIsRequestedImmediately() {
    daemons.dropped = message -> message instanceof ConfigurationMessage.Push;
    daemons.change("w", WITHDRAW);
    daemons.run(Duration.ofMillis(40));
    daemons.dropped = message -> false;
    daemons.change("d", new ConfigurationChange.DrainVm("e10"));
    daemons.run(Duration.ofMillis(300));
    daemons.byName.values().forEach(daemon -> assertEquals(daemon.revision(), 3, daemon.name));
  }

  /**
   * A daemon that was away too long for the steps gets a full copy in parts, though one is lost.
   */
  @Test
  public void daemonFarBehindGetsFullCopy() {
    daemons.isolated.add("e10");
    ConfigurationChange large =
        new ConfigurationChange.ReplaceAll(Samples.configuration(300, 3000));
    daemons.change("large", large);
    daemons.awaitInForce(2);
    int[] chunks = {0};
    daemons.dropped =
        message -> message instanceof ConfigurationMessage.CopyChunk && ++chunks[0] == 3;
    daemons.isolated.clear();
    daemons.run(Duration.ofSeconds(6));
    assertEquals(daemon("e10").part.current(), daemon("v1").machine.configuration());
    assertTrue(daemon("e10").serves());
    assertTrue(chunks[0] > 10, "parts: " + chunks[0]);
  }

  /**
   * An operator's answer is lost, so the change is sent again through another entry. It gets the
   * first answer, and an operator with the old revision gets a conflict with the present one.
   */
  @Test
  public void anyEntryAnswersOperator() {
    OperatorEffect first = daemon("e10").query(changeRequest("w", "anna", 1L, WITHDRAW));
    assertTrue(first instanceof OperatorEffect.ChangeAccepted accepted && accepted.revision() == 2);
    daemons.run(Duration.ofSeconds(1));
    assertEquals(daemon("e12").query(changeRequest("w", "anna", 1L, WITHDRAW)), first);
    daemons.run(Duration.ofSeconds(1));
    OperatorEffect conflict = daemon("e13").query(changeRequest("x", "ben", 1L, WITHDRAW));
    assertTrue(conflict instanceof OperatorEffect.ChangeConflict refused && refused.present() == 2);
    OperatorEffect unknownOperator = daemon("e13").query(changeRequest("y", "eve", 2L, WITHDRAW));
    assertTrue(
        unknownOperator instanceof OperatorEffect.RefuseOperator refused
            && refused.error().kind() == ErrorKind.UNAUTHORIZED);
    OperatorEffect bootstrap = daemon("e13").query(changeRequest("z", "first", 2L, WITHDRAW));
    assertTrue(bootstrap instanceof OperatorEffect.RefuseOperator);
  }

  private static OperatorEvent changeRequest(
      String changeId, String operator, Long expected, ConfigurationChange change) {
    return new OperatorEvent.ChangeRequested(
        "call", Samples.hash(operator), changeId, expected, change);
  }

  /** Questions about history reach a control voter, and those about force the leader. */
  @Test
  public void queriesAreForwarded() {
    daemons.change("w", WITHDRAW);
    daemons.awaitInForce(2);
    SimulatedDaemons.Daemon entry = daemon("e14");
    String key = Samples.hash("anna");
    assertNull(entry.query(new OperatorEvent.HistoryRequested("h", key, 0, 10)));
    entry.apply(new OperatorEvent.DifferenceRequested("d", key, 2, 1));
    entry.apply(new OperatorEvent.RevisionRequested("r", key, 1));
    entry.apply(new OperatorEvent.RevisionRequested("n", key, 7));
    entry.apply(new OperatorEvent.InForceRequested("f", key, 2));
    daemons.run(Duration.ofMillis(200));
    assertEquals(entry.answers.size(), 5);
    for (OperatorEffect answer : entry.answers) {
      if (answer instanceof OperatorEffect.SendHistory history) {
        assertEquals(history.changes().get(0).change(), "WithdrawVersion");
      } else if (answer instanceof OperatorEffect.SendDifference difference) {
        assertEquals(
            difference.step().differences(),
            List.of(new ConfigurationDifference.WithdrawalDiffers(Samples.DRAFT_2, false)));
      } else if (answer instanceof OperatorEffect.SendConfiguration sent) {
        assertEquals(sent.configuration().revision(), 1);
      } else if (answer instanceof SendInForce status) {
        assertTrue(status.inForce());
      } else {
        assertEquals(answer.callId(), "n");
      }
    }
  }

  // An operator takes a control VM in and reads "the operator key is unknown", yet the VM is taken
  // in. Two parts had answered the call: this one, which found no key in it, and the one that
  // carries it out. Calls that belong to other parts must stay without an answer from this one.
  @Test
  public void callsOfOtherPartsGetNoAnswer() {
    assertNull(daemon("e10").query(new OperatorEvent.ControlVmRequested("c", "v9", true)));
  }

  // A control VM is replaced by one with another name, which then leads; the settings of all others
  // don't name it yet. Replicas asked only voters of their settings, so nobody got a lease and
  // every entry refused work with 503 until another replica led. They must ask the leader, and
  // entries get their leases through the replicas that they know.
  @Test
  public void leaderMissingFromSettingsGrantsLeases() {
    daemons.configuredVoters = List.of("v2", "v3");
    daemons.byName.values().forEach(SimulatedDaemons.Daemon::restart);
    daemons.lead("v1");
    daemons.run(Duration.ofSeconds(12));
    daemons.byName.values().forEach(daemon -> assertTrue(daemon.serves(), daemon.name));
  }
}
