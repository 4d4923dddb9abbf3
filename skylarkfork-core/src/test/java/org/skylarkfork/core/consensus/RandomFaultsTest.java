package org.skylarkfork.core.consensus;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.event.LifecycleEvent;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Long runs with seeded random faults of all kinds.
 *
 * <p>The cluster checks at each event that a term has at most one leader, that at most one leader
 * holds a lease and has all accepted entries, and that all replicas apply the same commands in
 * order.
 */
public class RandomFaultsTest {

  private static final int STEPS = 400;
  private static final int FAULT_KINDS = 14;

  private TestCluster cluster;
  private @Nullable String repairedNode;
  private long wipedInstance;
  private int submitted;
  private int wiped;

  // Guards against loss of accepted entries when daemons crash, lose disks one at a time and are
  // partitioned, members change, and messages are lost, duplicated and delayed while all daemons
  // submit. Afterwards the group must hold all accepted entries and serve again.
  @Test(dataProvider = "runs")
  public void acceptedEntriesSurviveRandomFaults(long seed, int voters, int snapshotEntries) {
    cluster = new TestCluster(seed, voters, TestCluster.settings(snapshotEntries));
    cluster.awaitLeader();
    cluster.add("spare", true);
    cluster.add("entry", false);
    repairedNode = null;
    submitted = 0;
    wiped = 0;
    for (int step = 0; step < STEPS; step++) {
      injectFault();
      submit();
      cluster.network.run(Duration.ofMillis(20 + random(400)));
    }
    cluster.network.reconnectAll();
    cluster.network.setMessageFaults(0, 0, 2);
    cluster.network.setMaxSyncMillis(3);
    for (String name : cluster.daemons.keySet()) {
      startIfDown(name);
    }
    cluster.network.run(Duration.ofSeconds(12));
    cluster.assertNothingLost();
    String figures = cluster.answers.size() + " of " + submitted + " answered, " + wiped + " wiped";
    assertTrue(cluster.answers.size() > submitted / 4, figures);
    assertTrue(wiped > 0, figures);
    Reporter.log("raft: seed " + seed + ": " + figures);
  }

  private void stop(String name) {
    cluster.network.inject(name, new LifecycleEvent.StopRequested());
    cluster.network.run(Duration.ofMillis(random(30)));
    cluster.network.crash(name);
  }

  private void submit() {
    for (int i = random(6); i > 0; i--) {
      submitted++;
      String name = anyDaemon();
      if (cluster.network.isUp(name)) {
        cluster.submit(name, "key-" + submitted);
      }
    }
  }

  private void injectFault() {
    String name = anyDaemon();
    switch (random(FAULT_KINDS)) {
      case 0 -> cluster.network.crash(name);
      case 1, 2, 3 -> cluster.daemons.keySet().forEach(this::startIfDown);
      case 4 -> cluster.network.isolate(name);
      case 5 -> cluster.network.disconnect(name, anyDaemon());
      case 6, 7 -> cluster.network.reconnectAll();
      case 8 ->
          cluster.network.setMessageFaults(random(30) / 100.0, random(30) / 100.0, 1 + random(200));
      case 9 -> cluster.network.setMessageFaults(0, 0, 1 + random(5));
      case 10 -> cluster.network.setMaxSyncMillis(1 + random(random(2) == 0 ? 5 : 150));
      case 11 -> wipeIfFullyRedundant(name);
      case 12 -> stop(name);
      default -> changeMembers();
    }
  }

  /**
   * Wipes a disk, but only while every voter holds all entries and the previous repair is complete.
   */
  private void wipeIfFullyRedundant(String name) {
    String leader = cluster.leader();
    if (leader == null || !cluster.daemons.get(name).hosts) {
      return;
    }
    GroupStatus status = cluster.status(leader);
    Member member = status.members().find(name);
    boolean settled = status.commitIndex() == status.lastIndex();
    if (!settled || member == null || status.members().voters().size() < 3 || !isRepaired(status)) {
      return;
    }
    repairedNode = name;
    wipedInstance = member.instance();
    wiped++;
    cluster.network.crashAndWipe(name);
    cluster.network.start(name);
  }

  private boolean isRepaired(GroupStatus status) {
    if (repairedNode == null) {
      return true;
    }
    Member member = status.members().find(repairedNode);
    return member == null || (member.instance() != wipedInstance && status.members().votes(member));
  }

  private void changeMembers() {
    String leader = cluster.leader();
    if (leader == null) {
      return;
    }
    int voters = cluster.status(leader).members().voters().size();
    if (voters > 3 && random(2) == 0) {
      cluster.submit(leader, new GroupCommand.RemoveMember(anyDaemon()));
    } else {
      cluster.submit(leader, new GroupCommand.AdmitMember(anyDaemon()));
    }
  }

  private void startIfDown(String name) {
    if (!cluster.network.isUp(name)) {
      cluster.network.start(name);
    }
  }

  private String anyDaemon() {
    List<String> names = new ArrayList<>(cluster.daemons.keySet());
    return names.get(random(names.size()));
  }

  private int random(int bound) {
    return cluster.network.random().nextInt(bound);
  }

  /** Returns the seed, the number of voters and the snapshot threshold of each run. */
  @DataProvider
  public Object[][] runs() {
    List<Object[]> runs = new ArrayList<>();
    int count = Integer.getInteger("skylarkfork.runs", 12);
    for (int i = 0; i < count; i++) {
      runs.add(new Object[] {100L + i, i % 3 == 2 ? 5 : 3, i % 2 == 0 ? 25 : 10_000});
    }
    return runs.toArray(new Object[0][]);
  }
}
