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

/** Tests that sessions keep their versions at all entries and through failures and restarts. */
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
   * Two entries pin a new session to different versions at nearly the same time, before either
   * receives the other's pin. Afterwards all entries must have the version of the earlier pin, in
   * whichever order the owners received the pins.
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
   * Both owners of a session are short of processor time and answer late. The entry must wait for
   * their answers. If its query timed out early, it would choose a new version, and during a
   * roll-out the session would change its version without a notice to the caller.
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
   * All entries restart at once and lose all pins. The session must keep its version through the
   * caller's token. A token of another session, a modified token or a token of a withdrawn version
   * must have no effect.
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
   * The owners of a session don't answer. The request must continue after a bounded wait, without a
   * pin or with the pin of its token, and must not hang.
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
   * Entries are killed, stopped and restarted one after the other, with time for the handover,
   * while requests without tokens arrive at random entries. No session may change its version.
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
      assertTrue(entry.resolved.contains(id), id + " is not resolved");
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
