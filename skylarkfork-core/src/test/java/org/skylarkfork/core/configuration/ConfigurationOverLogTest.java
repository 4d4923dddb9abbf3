package org.skylarkfork.core.configuration;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupCodec;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.RaftLimits;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.consensus.RaftTimeouts;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.OperatorEffect.ChangeAccepted;
import org.skylarkfork.core.effect.OperatorEffect.ChangeConflict;
import org.skylarkfork.core.effect.OperatorEffect.RefuseOperator;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.request.RunState;
import org.skylarkfork.core.testing.SimulatedNetwork;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the configuration over the real replicated log with three control VMs and two entries. */
public class ConfigurationOverLogTest {

  private static final GroupId GROUP = GroupId.CONFIGURATION;
  private static final List<String> VOTERS = List.of("v1", "v2", "v3");
  private static final List<String> ALL = List.of("v1", "v2", "v3", "e1", "e2");

  private final Map<String, ConfigurationPart> parts = new LinkedHashMap<>();
  private final Map<String, ConsensusPart> groups = new HashMap<>();
  private final Map<String, OperatorEffect> answers = new HashMap<>();
  private final List<Snapshot> snapshots = new ArrayList<>();
  private SimulatedNetwork network;
  private int calls;

  private void start(int snapshotEntries) {
    parts.clear();
    answers.clear();
    snapshots.clear();
    network = new SimulatedNetwork(5);
    network.setEffectListener(
        (node, effect) -> {
          if (effect instanceof OperatorEffect answer) {
            answers.put(answer.callId(), answer);
          }
        });
    for (String name : ALL) {
      boolean voter = VOTERS.contains(name);
      network.add(
          name, voter ? List.of(GROUP) : List.of(), seed -> boot(name, snapshotEntries, seed));
    }
    ALL.forEach(network::start);
    network.run(Duration.ofSeconds(8));
    accept("e1", "load", new ConfigurationChange.ReplaceAll(Samples.configuration(3, 3)));
    assertTrue(network.runUntil(Duration.ofSeconds(10), () -> allServeAt(1)));
  }

  private Reducer boot(String name, int snapshotEntries, long seed) {
    ConfigurationMachine machine = VOTERS.contains(name) ? new ConfigurationMachine() : null;
    ConsensusPart consensus =
        new ConsensusPart(
            name,
            List.of(new GroupSetup(GROUP, VOTERS, machine)),
            settings(snapshotEntries),
            new MemoryCodec(),
            seed);
    LocalReplica replica =
        machine == null ? null : new LocalReplica(machine, now -> consensus.holdsLease(GROUP, now));
    ConfigurationPart part =
        new ConfigurationPart(
            name,
            SimulatedDaemons.SETTINGS,
            new ZoneTree(name, () -> VOTERS, () -> ALL),
            VOTERS,
            consensus.submitter(),
            replica);
    groups.put(name, consensus);
    parts.put(name, part);
    return new Reducer(List.of(consensus, part));
  }

  private static RaftSettings settings(int snapshotEntries) {
    RaftLimits limits = RaftLimits.DEFAULT.withSnapshots(snapshotEntries, 16);
    return new RaftSettings(RaftTimeouts.DEFAULT, limits);
  }

  private String send(
      String entry, String changeId, @Nullable Long expected, ConfigurationChange change) {
    String callId = "call" + calls++;
    String operator = parts.get(entry).current().revision() == 0 ? "first" : "anna";
    network.inject(
        entry,
        new OperatorEvent.ChangeRequested(
            callId, Samples.hash(operator), changeId, expected, change));
    return callId;
  }

  private OperatorEffect await(String callId) {
    assertTrue(
        network.runUntil(Duration.ofSeconds(20), () -> answers.containsKey(callId)),
        "no answer to " + callId);
    return answers.get(callId);
  }

  private ChangeAccepted accept(String entry, String changeId, ConfigurationChange change) {
    return (ChangeAccepted) await(send(entry, changeId, null, change));
  }

  private String leader() {
    for (String name : VOTERS) {
      if (network.isUp(name) && groups.get(name).holdsLease(GROUP, network.now())) {
        return name;
      }
    }
    throw new AssertionError("no leader");
  }

  private boolean allServeAt(long revision) {
    return parts.values().stream()
        .allMatch(part -> part.mayServe(network.now()) && part.current().revision() == revision);
  }

  /** Provides the numbers of log entries after which a snapshot is taken. */
  @DataProvider
  public Object[][] snapshotEntries() {
    return new Object[][] {{100}, {100_000}};
  }

  /**
   * Every process ends after 500 changes and restarts from its disk. The configuration, the answers
   * to change ids and the history must all be recovered, from a snapshot or from the log. Otherwise
   * a resend would be applied again and an old revision couldn't be restored.
   */
  @Test(dataProvider = "snapshotEntries")
  public void stateSurvivesRestartOfAllProcesses(int snapshotEntries) {
    start(snapshotEntries);
    final ChangeAccepted first =
        accept("e1", "first", new ConfigurationChange.MoveRule("rule2", 0));
    for (int number = 0; number < 500; number++) {
      accept("e2", "c" + number, new ConfigurationChange.DrainUpstream("gpu-" + number % 7));
    }
    final Configuration before = parts.get(leader()).current();
    assertEquals(groups.get(leader()).status(GROUP).snapshotIndex() > 0, snapshotEntries < 1000);
    ALL.forEach(network::crash);
    ALL.forEach(network::start);
    assertTrue(network.runUntil(Duration.ofSeconds(20), () -> allServeAt(502)));
    parts.values().forEach(part -> assertEquals(part.current(), before));
    ChangeAccepted again = accept("e2", "first", new ConfigurationChange.MoveRule("rule2", 0));
    assertEquals(again.revision(), first.revision());
    assertEquals(again.acceptedAt(), first.acceptedAt());
    assertEquals(parts.get(leader()).current().revision(), 502);
    ChangeAccepted restored = accept("e1", "back", new ConfigurationChange.RestoreRevision(1));
    assertEquals(restored.revision(), 503);
    assertEquals(parts.get(leader()).current().rules().get(0).name(), "rule0");
  }

  /**
   * Two operators send changes with the same expected revision through two entries: one is
   * accepted, the other receives a conflict.
   */
  @Test
  public void concurrentChangesGetOneAcceptanceAndOneConflict() {
    start(1000);
    network.run(Duration.ofSeconds(2));
    String one = send("e1", "one", 1L, new ConfigurationChange.DrainVm("e1"));
    String two = send("e2", "two", 1L, new ConfigurationChange.DrainVm("e2"));
    List<OperatorEffect> both = List.of(await(one), await(two));
    assertEquals(both.stream().filter(ChangeAccepted.class::isInstance).count(), 1);
    assertEquals(
        both.stream()
            .filter(answer -> answer instanceof ChangeConflict lost && lost.present() == 2)
            .count(),
        1);
    assertEquals(parts.get(leader()).current().drainedVms().size(), 1);
  }

  /**
   * The leader and entry e1 are isolated together without connection errors, and operators send
   * changes to both sides. The isolated side must accept nothing, and e1 must stop serving before
   * the other side's withdrawal is reported as in force. After the partition heals, the operator
   * without an answer sends the change again and receives one.
   */
  @Test
  public void isolatedLeaderAcceptsNothingWhileOperatorsWriteToBothSides() {
    start(1000);
    network.run(Duration.ofSeconds(2));
    String old = leader();
    for (String name : ALL) {
      if (!name.equals(old) && !name.equals("e1")) {
        network.disconnect(name, old);
        network.disconnect(name, "e1");
      }
    }
    ConfigurationChange drain = new ConfigurationChange.DrainUpstream("gpu-1");
    final String isolatedCall = send("e1", "cut-off", null, drain);
    ConfigurationChange withdraw = new ConfigurationChange.WithdrawVersion(Samples.DRAFT_2, null);
    assertEquals(accept("e2", "free", withdraw).revision(), 2);
    assertTrue(parts.get("e1").mayServe(network.now()));
    String query = "f";
    while (!inForce(query)) {
      query = query + "f";
      network.inject("e2", new OperatorEvent.InForceRequested(query, Samples.hash("anna"), 2));
      network.run(Duration.ofMillis(100));
    }
    assertFalse(parts.get("e1").mayServe(network.now()));
    assertFalse(parts.get(old).mayServe(network.now()));
    assertTrue(parts.get("e2").mayServe(network.now()));
    RefuseOperator lost = (RefuseOperator) await(isolatedCall);
    assertEquals(lost.error().runState(), RunState.UNKNOWN);
    network.reconnectAll();
    assertEquals(accept("e1", "cut-off", drain).revision(), 3);
    assertTrue(network.runUntil(Duration.ofSeconds(10), () -> allServeAt(3)));
  }

  private boolean inForce(String query) {
    return answers.get(query) instanceof OperatorEffect.SendInForce status && status.inForce();
  }

  /** Stores snapshots in memory and encodes each as its index. */
  private final class MemoryCodec implements GroupCodec {

    @Override
    public byte[] encode(Snapshot snapshot) {
      snapshots.add(snapshot);
      return ByteBuffer.allocate(Integer.BYTES).putInt(snapshots.size() - 1).array();
    }

    @Override
    public Snapshot decode(byte[] bytes) {
      return snapshots.get(ByteBuffer.wrap(bytes).getInt());
    }

    @Override
    public int sizeOf(Command command) {
      return 100;
    }
  }
}
