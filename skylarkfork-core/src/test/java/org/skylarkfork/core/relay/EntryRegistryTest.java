package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.testng.annotations.Test;

/** Tests of {@link EntryRegistry} and {@link TickLag}. */
public final class EntryRegistryTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration TICK = Duration.ofMillis(25);

  private static EntryPoll poll(int number, String zone, boolean serving, boolean busy) {
    String address = "10.0.0." + number;
    return new EntryPoll(
        address, zone, serving, 1, START, 1, 1, 1, 1, false, busy, 0, List.of(), List.of());
  }

  private static EntryRegistry registry(boolean... busy) {
    EntryRegistry registry =
        new EntryRegistry(RelayTimings.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));
    for (int number = 0; number < busy.length; number++) {
      String zone = number % 2 == 0 ? "a" : "b";
      registry.recordPoll("entry-" + number, poll(number, zone, true, busy[number]), START);
    }
    return registry;
  }

  /** An entry is told of callers' addresses as they stand in its zone, and of all other entries. */
  @Test
  public void neighbourhoodNamesTheOthers() {
    EntryRegistry registry = registry(false, false, false);
    RelayMessage.Neighbourhood told = registry.neighbourhood("entry-1", 6);
    assertEquals(told.callerAddresses(), List.of("10.0.0.1", "10.0.0.0", "10.0.0.2"));
    assertEquals(told.peers(), List.of("entry-2", "entry-0"));
    assertEquals(registry.neighbourhood("entry-1", 6).version(), told.version());
    assertNotEquals(registry(false, true, false).neighbourhood("entry-1", 6).version(), 0);
    assertNotEquals(
        registry(false, true, false).neighbourhood("entry-1", 6).version(), told.version());
  }

  /** What an entry was told before it is told anew once another one comes, changes or goes. */
  @Test
  public void neighbourhoodChangesWithTheOthers() {
    EntryRegistry registry = registry(false, false, false);
    assertEquals(registry.neighbourhood("entry-1", 6).callerAddresses().size(), 3);
    registry.recordPoll("entry-2", poll(2, "a", false, false), START);
    assertEquals(
        registry.neighbourhood("entry-1", 6).callerAddresses(), List.of("10.0.0.1", "10.0.0.0"));
    registry.recordPoll("entry-3", poll(3, "b", true, false), START.plusSeconds(2));
    assertEquals(registry.neighbourhood("entry-1", 6).callerAddresses().size(), 3);
    registry.recordPoll("entry-1", poll(1, "b", true, false), START.plusSeconds(2));
    registry.tick(START.plusSeconds(4));
    assertEquals(
        registry.neighbourhood("entry-1", 6).callerAddresses(), List.of("10.0.0.1", "10.0.0.3"));
  }

  /** Up to nine entries, each is told by all others and tells all others, and none schedules. */
  @Test
  public void fewEntriesHearEachOther() {
    EntryRegistry registry = registry(new boolean[9]);
    Map<String, Integer> heard = new HashMap<>();
    for (String node : registry.nodes()) {
      RelayMessage.Neighbourhood told = registry.neighbourhood(node, 60);
      assertEquals(Set.copyOf(told.peers()).size(), 8);
      assertFalse(told.peers().contains(node));
      assertEquals(told.schedulers(), List.of());
      told.peers().forEach(peer -> heard.merge(peer, 1, Integer::sum));
    }
    assertEquals(heard.size(), 9);
    assertEquals(Set.copyOf(heard.values()), Set.of(8));
  }

  /**
   * With more entries than can hear each other, all are told of the same schedulers, one for each
   * group of engines, and nobody tells others of its load.
   */
  @Test
  public void manyEntriesHaveTheSameSchedulers() {
    EntryRegistry registry = registry(new boolean[75]);
    Set<List<String>> told = new HashSet<>();
    for (String node : registry.nodes()) {
      assertEquals(registry.neighbourhood(node, 63).peers(), List.of());
      told.add(registry.neighbourhood(node, 63).schedulers());
    }
    assertEquals(told.size(), 1);
    List<String> schedulers = told.iterator().next();
    assertEquals(schedulers.size(), 2, "a third group would have less than sixteen engines");
    assertEquals(Set.copyOf(schedulers).size(), 2);
    assertEquals(registry.neighbourhood("entry-1", 64).schedulers().size(), 4);
    assertEquals(registry.neighbourhood("entry-1", 12_000).schedulers().size(), 32, "of 75 / 2");
    assertEquals(registry.neighbourhood("entry-1", 5).schedulers().size(), 1);
  }

  /**
   * One entry stands still: its group of engines gets another scheduler, the others keep theirs.
   */
  @Test
  public void lostSchedulerIsReplacedAlone() {
    boolean[] busy = new boolean[75];
    List<String> before = registry(busy).neighbourhood("entry-0", 200).schedulers();
    assertEquals(before.size(), 8);
    busy[Integer.parseInt(before.get(3).substring("entry-".length()))] = true;
    List<String> after = registry(busy).neighbourhood("entry-0", 200).schedulers();
    for (int group = 0; group < 8; group++) {
      assertEquals(after.get(group).equals(before.get(group)), group != 3);
    }
  }

  /**
   * Callers of 91 entries take 64 addresses. All look-ups together name each entry as often as any
   * other, those that control VMs answer and those that entries answer.
   */
  @Test
  public void moreEntriesThanCallersTakeAreNamedEvenly() {
    EntryRegistry registry = registry(new boolean[91]);
    Map<String, Integer> atControl = new HashMap<>();
    Map<String, Integer> atEntries = new HashMap<>();
    for (String node : registry.nodes()) {
      List<String> looked = registry.callerAddresses("b");
      assertEquals(Set.copyOf(looked).size(), 64);
      looked.forEach(address -> atControl.merge(address, 1, Integer::sum));
      List<String> told = registry.neighbourhood(node, 29).callerAddresses();
      told.forEach(address -> atEntries.merge(address, 1, Integer::sum));
    }
    assertEquals(atControl.size(), 91);
    assertEquals(Set.copyOf(atControl.values()), Set.of(64));
    assertEquals(atEntries.size(), 91);
    assertEquals(Set.copyOf(atEntries.values()), Set.of(64));
  }

  /** Callers must not be sent to a stopped entry for half a second: entries are told at once. */
  @Test
  public void comingAndGoingIsNoticed() {
    EntryRegistry registry = registry(false);
    assertTrue(registry.takeChanged());
    assertFalse(registry.takeChanged());
    registry.recordPoll("entry-0", poll(0, "a", true, false), START);
    assertFalse(registry.takeChanged(), "as before");
    registry.recordPoll("entry-0", poll(0, "a", false, false), START);
    assertTrue(registry.takeChanged(), "it stops");
    registry.tick(START.plusSeconds(10));
    assertTrue(registry.takeChanged(), "it is gone");
  }

  /** Callers of a zone get its entries first, and the others as well. */
  @Test
  public void entriesOfTheZoneComeFirst() {
    assertEquals(
        registry(false, false, false).callerAddresses("b"),
        List.of("10.0.0.1", "10.0.0.0", "10.0.0.2"));
  }

  /** Callers aren't sent to the one entry whose VM was slowed down. */
  @Test
  public void busyEntryIsLeftOut() {
    assertEquals(
        registry(false, true, false).callerAddresses("a"), List.of("10.0.0.0", "10.0.0.2"));
  }

  /** Callers are spread over all entries when most are busy; the rest couldn't serve them all. */
  @Test
  public void allEntriesStayWhenMostAreBusy() {
    assertEquals(registry(true, true, false).callerAddresses("a").size(), 3);
  }

  /** An entry is busy soon after its ticks come late, and free again soon after they don't. */
  @Test
  public void lateTicksShowBusyEntry() {
    TickLag lag = new TickLag(TICK);
    Instant now = START;
    for (int tick = 0; tick < 10; tick++) {
      now = now.plus(TICK);
      lag.tick(now);
    }
    assertFalse(lag.busy());
    for (int tick = 0; tick < 6; tick++) {
      now = now.plusMillis(150);
      lag.tick(now);
    }
    assertTrue(lag.busy());
    for (int tick = 0; tick < 30; tick++) {
      now = now.plus(TICK);
      lag.tick(now);
    }
    assertFalse(lag.busy());
  }
}
