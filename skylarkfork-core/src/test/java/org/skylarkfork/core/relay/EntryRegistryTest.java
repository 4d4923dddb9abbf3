package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.testng.annotations.Test;

/** Tests of {@link EntryRegistry} and {@link TickLag}. */
public final class EntryRegistryTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final Duration TICK = Duration.ofMillis(25);

  private static EntryRegistry registry(boolean... busy) {
    EntryRegistry registry =
        new EntryRegistry(RelayTimes.of(Duration.ofSeconds(5), Duration.ofSeconds(1)));
    for (int number = 0; number < busy.length; number++) {
      String zone = number % 2 == 0 ? "a" : "b";
      registry.heard(
          "entry-" + number,
          new EntryPoll(
              "10.0.0." + number, zone, true, 1, START, 1, 1, 1, 1, false, busy[number], List.of()),
          START);
    }
    return registry;
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
