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

/** Tests {@link ConfigurationPart} with several simulated daemons. */
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

  /** A change reaches every daemon and is in force well before the leases expire. */
  @Test
  public void changeIsInForceOnceAllAcknowledged() {
    daemons.byName.values().forEach(daemon -> assertTrue(daemon.serves(), daemon.name));
    daemons.change("w", WITHDRAW);
    Duration elapsed = daemons.awaitInForce(2);
    assertTrue(elapsed.compareTo(Duration.ofMillis(500)) < 0, elapsed.toString());
    daemons.byName.values().forEach(daemon -> assertEquals(daemon.revision(), 2, daemon.name));
    assertTrue(daemon("e15").part.teamByKeyHash(Samples.hash("team3")).isPresent());
  }

  /** A restarted daemon accepts no new work before it has a configuration and a lease. */
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
   * An entry with the slowest allowed clock is isolated without connection errors while it serves,
   * and a version is withdrawn. The withdrawal must not be reported as in force before the entry
   * has stopped serving, and the status must name the awaited entry and until when. {@link
   * SimulatedDaemons} checks this order at each tick.
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
   * An entry receives lease grants but no newer revisions. Grants alone must not keep it serving:
   * they name the leader's revision, so its lease expires like that of an isolated entry.
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
   * The leases granted by the previous leader are unknown to a new leader. An entry that only the
   * previous leader could reach still serves under revision 1 when revision 2 is accepted. The new
   * leader knows of no lagging entry, so it must wait for one maximum lease duration before it
   * reports the revision as in force.
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
   * Entry e10 grants leases to e13, e14 and e15. It restarts while they are isolated, so that it no
   * longer knows their leases and has no subscriber when a version is withdrawn. If e10
   * acknowledged the withdrawal at once, the leader would report it as in force while e13, e14 and
   * e15 still serve under revision 1.
   */
  @Test
  public void restartedRelayAcknowledgesOnlyAfterItsEarlierLeasesExpire() {
    daemons.run(Duration.ofSeconds(40)); // until each daemon uses its preferred source again
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

  /**
   * Without a quorum, entries stop serving after one lease duration; they resume when there is a
   * leader again.
   */
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
   * Time goes backwards on an entry, as when its clock is set. The lease would last longer on the
   * entry than the leader assumes, so it must end at once.
   */
  @Test
  public void backwardClockStepEndsLease() {
    SimulatedDaemons.Daemon entry = daemon("e10");
    entry.clockRate = 0.9;
    entry.apply(new LifecycleEvent.Tick());
    assertFalse(entry.serves());
  }

  /**
   * A control VM restarts, receives the newest revision from the leader, and only then applies its
   * own log from the start. The older revisions in the log must not replace the newer one.
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

  /**
   * A lost step is detected when the next one arrives and is requested at once, not at the next
   * renewal.
   */
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
   * A daemon that missed more steps than are stored receives a full copy in chunks, even if one
   * chunk is lost.
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
    assertTrue(chunks[0] > 10, "chunks: " + chunks[0]);
  }

  /**
   * An operator's answer is lost, so the change is sent again through another entry. The resend
   * receives the first answer, and an operator with the old revision receives a conflict with the
   * current one.
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

  /**
   * Queries about the history reach a control voter, and queries about revisions in force reach the
   * leader.
   */
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

  // An operator who added a control VM received "the operator key is unknown", yet the VM was
  // added. Two parts had answered the call: this one, which found no key in it, and the one that
  // executes it. This part must not answer calls that belong to other parts.
  @Test
  public void callsOfOtherPartsGetNoAnswer() {
    assertNull(daemon("e10").query(new OperatorEvent.ControlVmRequested("c", "v9", true)));
  }

  // A control VM is replaced by one with another name, which then leads; the settings of the other
  // daemons don't name it yet. Replicas subscribed only to voters in their settings, so no daemon
  // received a lease and every entry refused work with 503 until another replica led. Replicas must
  // subscribe to the leader, and entries receive leases through the replicas that they know.
  @Test
  public void leaderMissingFromSettingsGrantsLeases() {
    daemons.configuredVoters = List.of("v2", "v3");
    daemons.byName.values().forEach(SimulatedDaemons.Daemon::restart);
    daemons.lead("v1");
    daemons.run(Duration.ofSeconds(12));
    daemons.byName.values().forEach(daemon -> assertTrue(daemon.serves(), daemon.name));
  }
}
