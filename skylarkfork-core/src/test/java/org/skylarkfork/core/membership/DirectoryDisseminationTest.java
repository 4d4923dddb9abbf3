package org.skylarkfork.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.skylarkfork.core.upstream.Announcement;
import org.testng.annotations.Test;

/** Tests that all daemons learn of upstreams that announce themselves to one daemon. */
public final class DirectoryDisseminationTest {

  @Test
  public void changesAndLoadsReachAllDaemons() {
    TestNetwork network = networkWith(9, 20);
    assertUpstreamsOnAllDaemons(network, 20);
    TestUpstream leaving = network.upstreams.get(3);
    TestUpstream busy = network.upstreams.get(4);
    leaving.leaving = true;
    busy.running = 7;
    network.run(Duration.ofSeconds(3));
    for (TestDaemon daemon : network.daemons) {
      assertFalse(daemon.engines(network.now).contains(leaving.id));
      assertTrue(daemon.directory.find(leaving.id).orElseThrow().leaving());
      assertEquals(daemon.directory.find(busy.id).orElseThrow().load().running(), 7);
    }
    leaving.gone = true;
    network.run(Duration.ofSeconds(2));
    for (TestDaemon daemon : network.daemons) {
      assertTrue(daemon.directory.find(leaving.id).isEmpty());
    }
  }

  /**
   * Guards against new work sent to an upstream that has stopped sending heartbeats, at any entry.
   */
  @Test
  public void silentUpstreamIsRemovedOnAllDaemons() {
    TestNetwork network = networkWith(9, 20);
    network.upstreams.remove(0);
    network.run(Duration.ofSeconds(5));
    assertUpstreamsOnAllDaemons(network, 19);
  }

  /**
   * Guards against upstreams missing at other entries while the owner of the upstreams dies or
   * restarts. Each upstream continues its announcements at another entry within a second.
   */
  @Test
  public void upstreamsSurviveLossOfOwner() {
    TestNetwork network = networkWith(9, 20);
    for (int round = 2; round < 12; round++) {
      TestDaemon owner = network.daemons.get(network.random.nextInt(9));
      int number = Integer.parseInt(owner.self.name().substring("entry-".length()));
      network.kill(owner);
      if (round % 2 == 0) {
        for (int i = 0; i < 300; i++) {
          network.run(Duration.ofMillis(100));
          assertUpstreamsOnAllDaemons(network, 20);
        }
      }
      TestDaemon restarted = network.start(number, round);
      for (int i = 0; i < 200; i++) {
        network.run(Duration.ofMillis(100));
        network.daemons.remove(restarted);
        assertUpstreamsOnAllDaemons(network, 20);
        network.daemons.add(restarted);
      }
      assertUpstreamsOnAllDaemons(network, 20);
    }
  }

  /**
   * Guards against work sent to upstreams that fail together with their owner, as in a rack
   * failure. No owner is left to report the loss, so each other entry must remove them by itself.
   */
  @Test
  public void upstreamsLostWithTheirOwnerAreDropped() {
    TestNetwork network = networkWith(9, 20);
    TestDaemon owner = network.daemons.get(5);
    network.upstreams.removeIf(upstream -> upstream.entry % 9 == 5);
    network.kill(owner);
    network.run(Duration.ofSeconds(12));
    assertUpstreamsOnAllDaemons(network, network.upstreams.size());
  }

  /**
   * Guards against work sent to outdated upstreams after a partition: during the partition one
   * upstream leaves and a new process starts at the address of another one. After the partition,
   * entries of both sides must send new work to neither of the old upstreams.
   */
  @Test
  public void changesDuringPartitionAreDisseminatedAfterIt() {
    TestNetwork network = networkWith(9, 20);
    network.partition(List.of("127.0.0.1", "127.0.0.4", "127.0.0.7", "127.0.0.8"));
    TestUpstream leaving = network.upstreams.get(0);
    leaving.leaving = true;
    TestUpstream old = network.upstreams.remove(1);
    network.startUpstream("engine-new", 1, old.port, 3);
    network.run(Duration.ofSeconds(40));
    network.partition(List.of());
    network.run(Duration.ofSeconds(30));
    for (TestDaemon daemon : network.daemons) {
      assertTrue(daemon.directory.find(leaving.id).orElseThrow().leaving());
      assertTrue(daemon.directory.find(old.id).isEmpty());
      assertTrue(daemon.directory.find("engine-new").isPresent());
      assertEquals(daemon.directory.all().size(), 20);
      assertEquals(daemon.engines(network.now).size(), 19);
    }
  }

  @Test
  public void largePoolIsDistributedEvenly() {
    Map<String, Integer> useCounts = new HashMap<>();
    for (int entry = 1; entry <= 50; entry++) {
      UpstreamPool pool = new UpstreamPool("entry-" + entry, "utrecht-a", 16);
      for (int i = 0; i < 200; i++) {
        pool.add(Announcements.engine("engine-" + i, 1, i));
      }
      List<Announcement> subset = pool.subset();
      subset.forEach(one -> useCounts.merge(one.id(), 1, Integer::sum));
      pool.remove(subset.get(0).id());
      List<Announcement> kept = new ArrayList<>(subset);
      kept.retainAll(pool.subset());
      assertEquals(kept.size(), 15);
    }
    assertTrue(
        useCounts.size() > 185 && useCounts.values().stream().allMatch(count -> count <= 14));
  }

  /**
   * Guards against tables that don't converge: entries and upstreams are killed, restarted,
   * isolated and made to leave at random, under message loss and partitions. Afterwards each entry
   * must know exactly the live upstreams.
   */
  @Test
  public void convergesAfterRandomFailures() {
    for (int seed = 200; seed < 208; seed++) {
      TestNetwork network = new TestNetwork(seed).withEntries(7);
      network.loss = 0.05;
      for (int i = 0; i < 15; i++) {
        network.startUpstream("engine-" + i, 1, 7100 + i, i);
      }
      for (int step = 2; step < 22; step++) {
        injectFault(network, step);
        network.run(Duration.ofMillis(500 + network.random.nextInt(6000)));
      }
      network.loss = 0;
      network.partition(List.of());
      for (int i = 1; i <= 7; i++) {
        network.isolate("127.0.0." + i, false);
      }
      network.run(Duration.ofSeconds(90));
      TreeSet<String> expected = new TreeSet<>();
      network.upstreams.stream()
          .filter(upstream -> !upstream.leaving)
          .forEach(upstream -> expected.add(upstream.id));
      for (TestDaemon daemon : network.daemons) {
        assertEquals(
            daemon.engines(network.now), List.copyOf(expected), "seed " + seed + " " + daemon.self);
        assertEquals(daemon.directory.all().size(), network.upstreams.size(), "seed " + seed);
      }
    }
  }

  private static void injectFault(TestNetwork network, int step) {
    int daemon = network.random.nextInt(network.daemons.size());
    String host = network.daemons.get(daemon).self.host();
    TestUpstream upstream = network.upstreams.get(network.random.nextInt(network.upstreams.size()));
    switch (network.random.nextInt(8)) {
      case 0 -> {
        String name = network.daemons.get(daemon).self.name();
        network.kill(network.daemons.get(daemon));
        network.start(Integer.parseInt(name.substring("entry-".length())), step);
      }
      case 1 -> network.isolate(host, true);
      case 2 -> network.isolate(host, false);
      case 3 -> network.partition(List.of("127.0.0.2", "127.0.0.3", host));
      case 4 -> network.partition(List.of());
      case 5 -> upstream.leaving = !upstream.leaving;
      case 6 -> {
        upstream.incarnation++;
        upstream.leaving = false;
        upstream.entry = network.random.nextInt(7);
      }
      default -> {
        if (network.upstreams.size() > 8) {
          network.upstreams.remove(upstream);
          network.startUpstream("engine-x" + step, 1, upstream.port, step);
        }
      }
    }
  }

  private static TestNetwork networkWith(int daemons, int upstreams) {
    TestNetwork network = new TestNetwork(8).withEntries(daemons);
    for (int i = 0; i < upstreams; i++) {
      network.startUpstream("engine-" + i, 1, 7100 + i, i);
    }
    network.run(Duration.ofSeconds(3));
    return network;
  }

  private static void assertUpstreamsOnAllDaemons(TestNetwork network, int upstreams) {
    Instant now = network.now;
    for (TestDaemon daemon : network.daemons) {
      assertEquals(daemon.directory.all().size(), upstreams, daemon.self.name() + " at " + now);
    }
  }
}
