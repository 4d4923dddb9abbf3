package org.skylarkfork.core.relay;

import static org.skylarkfork.core.relay.RelayFixture.none;
import static org.skylarkfork.core.relay.RelayFixture.only;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.skylarkfork.core.effect.RelayEffect;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of an entry's choice of upstreams while availability zones are evacuated. */
public final class EvacuatedZoneTest {

  private RelayFixture entry = new RelayFixture();

  /** Creates a new fixture for each test. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  /**
   * No request is sent to an evacuated zone, even if no other upstream is left: the caller receives
   * an immediate refusal, with a time after which to retry.
   */
  @Test
  public void evacuatedUpstreamIsNoFallback() {
    entry.view.trackedUpstreams.get(0).evacuated(true);
    entry.view.trackedUpstreams.get(1).evacuated(true);
    for (long number = 1; number <= 10; number++) {
      assertEquals(entry.send(number, "/lookup/x").target().upstream().id(), "up-3");
    }
    entry.view.trackedUpstreams.get(2).evacuated(true);
    RelayEffect.Refuse refused = only(entry.arrives(11, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(refused.refusal(), Refusal.NO_UPSTREAM);
    assertEquals(refused.retryAfterMillis(), 1000);
  }

  /** A stream whose upstream fails is not resumed in an evacuated zone. */
  @Test
  public void brokenStreamIsNotResumedInEvacuatedZone() {
    String first = entry.send(1, "/stream/x").target().upstream().id();
    entry.answers(1, 1, 200, false);
    entry.view.trackedUpstreams.stream()
        .filter(upstream -> !upstream.instance().id().equals(first))
        .forEach(upstream -> upstream.evacuated(true));
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.BROKEN_OFF, "4");
    assertTrue(none(effects, RelayEffect.SendAttempt.class), effects.toString());
  }
}
