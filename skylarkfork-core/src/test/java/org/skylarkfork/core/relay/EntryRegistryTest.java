package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
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
    return new EntryPoll(address, zone, serving, 1, START, 1, 1, 1, 1, false, busy, 0, List.of());
  }

  private static EntryRegistry registry(boolean... busy) {
    EntryRegistry registry =
        new EntryRegistry(RelayTimes.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));
    for (int number = 0; number < busy.length; number++) {
      String zone = number % 2 == 0 ? "a" : "b";
      registry.heard("entry-" + number, poll(number, zone, true, busy[number]), START);
    }
    return registry;
  }

  /** An entry is told of callers' addresses as they stand in its zone, and of all other entries. */
  @Test
  public void neighbourhoodNamesTheOthers() {
    EntryRegistry registry = registry(false, false, false);
    RelayMessage.Neighbourhood told = registry.neighbourhood("entry-1");
    assertEquals(told.callerAddresses(), List.of("10.0.0.1", "10.0.0.0", "10.0.0.2"));
    assertEquals(told.peers(), List.of("entry-2", "entry-0"));
    assertEquals(registry.neighbourhood("entry-1").version(), told.version());
    assertNotEquals(registry(false, true, false).neighbourhood("entry-1").version(), 0);
    assertNotEquals(
        registry(false, true, false).neighbourhood("entry-1").version(), told.version());
  }

  /** With more entries than one tells, each is told by as many as it tells. */
  @Test
  public void eachEntryIsHeardByAsManyAsItTells() {
    boolean[] busy = new boolean[30];
    EntryRegistry registry = registry(busy);
    Map<String, Integer> heard = new HashMap<>();
    for (String node : registry.nodes()) {
      List<String> peers = registry.neighbourhood(node).peers();
      assertEquals(peers.size(), 8);
      peers.forEach(peer -> heard.merge(peer, 1, Integer::sum));
    }
    assertEquals(heard.size(), 30);
    assertEquals(Set.copyOf(heard.values()), Set.of(8));
  }

  /** Callers must not be sent to a stopped entry for half a second: entries are told at once. */
  @Test
  public void comingAndGoingIsNoticed() {
    EntryRegistry registry = registry(false);
    assertTrue(registry.changed());
    assertFalse(registry.changed());
    registry.heard("entry-0", poll(0, "a", true, false), START);
    assertFalse(registry.changed(), "as before");
    registry.heard("entry-0", poll(0, "a", false, false), START);
    assertTrue(registry.changed(), "it stops");
    registry.tick(START.plusSeconds(10));
    assertTrue(registry.changed(), "it is gone");
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
