package org.skylarkfork.core.relay;

import static org.skylarkfork.core.relay.RelayFixture.none;
import static org.skylarkfork.core.relay.RelayFixture.only;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.skylarkfork.core.effect.RelayEffect;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of what an entry sends while availability zones are evacuated. */
public final class EvacuatedZoneTest {

  private RelayFixture entry = new RelayFixture();

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  /**
   * Nothing reaches an evacuated zone, not even where no other upstream is left: the caller is told
   * at once that its request has not run, and when to come back.
   */
  @Test
  public void evacuatedUpstreamIsNoLastResort() {
    entry.view.tracks.get(0).evacuated(true);
    entry.view.tracks.get(1).evacuated(true);
    for (long number = 1; number <= 10; number++) {
      assertEquals(entry.send(number, "/lookup/x").target().upstream().id(), "up-3");
    }
    entry.view.tracks.get(2).evacuated(true);
    RelayEffect.Refuse refused = only(entry.arrives(11, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(refused.refusal(), Refusal.NO_UPSTREAM);
    assertEquals(refused.retryAfterMillis(), 1000);
  }

  /** A stream whose upstream dies goes on elsewhere, but not in a zone that is evacuated. */
  @Test
  public void cutStreamDoesNotGoOnInAnEvacuatedZone() {
    String first = entry.send(1, "/stream/x").target().upstream().id();
    entry.answers(1, 1, 200, false);
    entry.view.tracks.stream()
        .filter(track -> !track.instance().id().equals(first))
        .forEach(track -> track.evacuated(true));
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.BROKEN_OFF, "4");
    assertTrue(none(effects, RelayEffect.SendAttempt.class), effects.toString());
  }
}
