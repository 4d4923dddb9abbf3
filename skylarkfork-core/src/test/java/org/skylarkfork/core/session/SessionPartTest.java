package org.skylarkfork.core.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.membership.TestDaemon;
import org.skylarkfork.core.membership.TestNetwork;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.testng.annotations.Test;

/** Tests that sessions keep their versions through any entry, losses and restarts. */
public final class SessionPartTest {

  private static final String TEAM = "club";
  private static final ModelVersion ONE = new ModelVersion("ruling", "1");
  private static final ModelVersion TWO = new ModelVersion("ruling", "2");
  private int requests;

  @Test
  public void everyEntryFindsThePin() {
    TestNetwork network = new TestNetwork(11).withEntries(7);
    pin(network, network.daemons.get(0), "s", ONE);
    for (TestDaemon daemon : network.daemons) {
      assertEquals(lookUp(network, daemon, "s", null).orElseThrow(), ONE);
    }
    assertEquals(lookUp(network, network.daemons.get(1), "t", null), Optional.empty());
    int owned = network.daemons.stream().mapToInt(entry -> entry.sessions.ownedSessions()).sum();
    assertEquals(owned, 4, "two owners for each of two sessions");
  }

  /**
   * Two requests of a new session come through two entries at nearly the same time, and are pinned
   * to different versions before either entry hears of the other. Afterwards the session has one
   * version at all entries, that of the earlier pin, whichever owner heard which pin first.
   */
  @Test
  public void concurrentPinsConvergeToTheEarlierOne() {
    for (int seed = 0; seed < 20; seed++) {
      TestNetwork network = new TestNetwork(seed).withEntries(5);
      lookUp(network, network.daemons.get(0), "s", null);
      lookUp(network, network.daemons.get(1), "s", null);
      Instant first = network.now.plusMillis(seed % 3);
      network.daemons.get(0).sessions.pin(TEAM, "s", TWO, first);
      network.daemons.get(1).sessions.pin(TEAM, "s", ONE, network.now);
      network.run(Duration.ofSeconds(1));
      for (TestDaemon daemon : network.daemons) {
        ModelVersion earlier = seed % 3 == 0 ? TWO : ONE;
        assertEquals(lookUp(network, daemon, "s", null).orElseThrow(), earlier, "seed " + seed);
      }
    }
  }

  /**
   * Both owners of a session are short of processor time and answer late. The entry that asks them
   * waits for their answer: if it gave up early, it would choose a version anew, and in the middle
   * of a roll-out the caller would see its session change its version without being told.
   */
  @Test
  public void waitsForSlowOwners() {
    TestNetwork network = new TestNetwork(13).withEntries(5);
    pin(network, network.daemons.get(0), "s", ONE);
    network.daemons.forEach(daemon -> daemon.sendDelay = Duration.ofMillis(200));
    for (TestDaemon daemon : network.daemons) {
      assertEquals(lookUp(network, daemon, "s", null), Optional.of(ONE));
    }
  }

  @Test
  public void replacedPinIsSentToEntriesWithTheOldPin() {
    TestNetwork network = new TestNetwork(12).withEntries(5);
    pin(network, network.daemons.get(0), "s", ONE);
    lookUp(network, network.daemons.get(1), "s", null);
    pin(network, network.daemons.get(2), "s", TWO);
    assertEquals(lookUp(network, network.daemons.get(2), "s", null).orElseThrow(), ONE);
    network.daemons.get(2).sessions.pin(TEAM, "s", TWO, network.now);
    network.run(Duration.ofSeconds(1));
    assertEquals(lookUp(network, network.daemons.get(1), "s", null).orElseThrow(), TWO);
  }

  /**
   * All entries restart at once, so that every pin is forgotten; the caller sends back its token
   * and keeps its version. A token of another session, or of a withdrawn version, does nothing.
   */
  @Test
  public void tokenRestoresPinAfterRestartOfAllEntries() {
    TestNetwork network = new TestNetwork(13).withEntries(3);
    String token = pin(network, network.daemons.get(0), "s", ONE);
    for (int number = 1; number <= 3; number++) {
      network.kill(network.daemons.get(0));
      network.start(number, 2);
    }
    network.run(Duration.ofSeconds(10));
    TestDaemon first = network.daemons.get(0);
    assertEquals(lookUp(network, first, "other", token), Optional.empty());
    assertEquals(lookUp(network, first, "s", token + "x"), Optional.empty());
    first.configuration.set(List.of(), List.of(), List.of(ONE));
    assertEquals(lookUp(network, first, "s", token), Optional.empty());
    network.run(Duration.ofMinutes(1));
    TestDaemon second = network.daemons.get(1);
    assertEquals(lookUp(network, second, "s", token).orElseThrow(), ONE);
    assertEquals(lookUp(network, network.daemons.get(2), "s", null).orElseThrow(), ONE);
  }

  /**
   * The owners of a session are silent. The request goes on without a pin after a bounded wait, or
   * with that of the token, and doesn't hang.
   */
  @Test
  public void lookupWithSilentOwnersEndsAfterBoundedWait() {
    TestNetwork network = new TestNetwork(14).withEntries(5);
    String token = pin(network, network.daemons.get(0), "s", ONE);
    TestDaemon isolated = network.daemons.get(4);
    network.isolate(isolated.self.host(), true);
    for (int i = 0; i < 20; i++) {
      assertEquals(lookUp(network, isolated, "new" + i, null), Optional.empty());
    }
    assertEquals(lookUp(network, isolated, "s", token).orElseThrow(), ONE);
  }

  /**
   * Entries are killed, restarted and stopped one after the other, with time for the handover,
   * while sessions come through any of them without tokens. No session may ever change its version.
   */
  @Test
  public void sessionsKeepVersionsWhileEntriesAreReplaced() {
    for (int seed = 30; seed < 34; seed++) {
      TestNetwork network = new TestNetwork(seed).withEntries(6);
      Map<String, ModelVersion> expected = new HashMap<>();
      for (int step = 0; step < 120; step++) {
        TestDaemon entry = network.daemons.get(network.random.nextInt(network.daemons.size()));
        String session = "s" + network.random.nextInt(40);
        Optional<ModelVersion> found = lookUp(network, entry, session, null);
        if (expected.containsKey(session)) {
          assertEquals(found.orElse(null), expected.get(session), "seed " + seed + " at " + step);
        } else {
          ModelVersion version = network.random.nextBoolean() ? ONE : TWO;
          pin(network, entry, session, version);
          expected.put(session, version);
        }
        if (step % 10 == 9) {
          replaceOne(network, step);
        }
      }
    }
  }

  private static void replaceOne(TestNetwork network, int step) {
    TestDaemon entry = network.daemons.get(network.random.nextInt(network.daemons.size()));
    final int number = Integer.parseInt(entry.self.name().substring("entry-".length()));
    boolean planned = network.random.nextBoolean();
    if (planned) {
      network.apply(entry, new LifecycleEvent.StopRequested());
      network.run(Duration.ofSeconds(5));
      network.apply(entry, new LifecycleEvent.Ending());
    }
    network.kill(entry);
    if (network.random.nextBoolean()) {
      network.run(Duration.ofSeconds(30));
    }
    network.start(number, 2 + step);
    network.run(Duration.ofSeconds(20));
  }

  private String pin(TestNetwork network, TestDaemon entry, String session, ModelVersion version) {
    lookUp(network, entry, session, null);
    Optional<ModelVersion> known = entry.sessions.pinned(TEAM, session, version.model());
    String token = entry.sessions.pin(TEAM, session, known.orElse(version), network.now);
    assertNotEquals(token, "");
    network.run(Duration.ofMillis(100));
    return token;
  }

  private Optional<ModelVersion> lookUp(
      TestNetwork network, TestDaemon entry, String session, @Nullable String token) {
    String id = "request-" + requests++;
    if (entry.sessions.lookup(request(id, session, token), TEAM, network.now)
        == SessionPins.Lookup.PENDING) {
      network.run(SessionSettings.DEFAULT.queryTimeout().plusMillis(50));
      assertTrue(entry.resolved.contains(id), id + " hangs");
    }
    return entry.sessions.pinned(TEAM, session, ONE.model());
  }

  private static CallerRequest request(String id, String session, @Nullable String token) {
    return new CallerRequest(
        id,
        "hash",
        RequestKind.CHAT,
        ONE.model(),
        "",
        "POST",
        "",
        List.of(),
        "prompt",
        Bytes.EMPTY,
        1,
        1,
        false,
        5,
        session,
        token,
        null,
        TestNetwork.START.plusSeconds(1_000_000),
        null);
  }
}
