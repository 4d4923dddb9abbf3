package org.skylarkfork.core.relay;

import static org.skylarkfork.core.relay.RelayFixture.none;
import static org.skylarkfork.core.relay.RelayFixture.only;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests an entry's handling of quarantined requests. */
public final class QuarantinedRequestTest {

  private RelayFixture entry = new RelayFixture();

  /** Creates a new entry for each test, with enough requests to allow retries. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
    for (long number = 1000; number < 1020; number++) {
      entry.send(number, "/lookup/x");
      entry.apply(new RelayEvent.CallerLeft(number));
    }
  }

  private void quarantine(long contentHash) {
    entry.view.quarantined.add(new RequestKey("team", contentHash));
  }

  private void assertRefused(List<RelayEffect> effects) {
    assertTrue(none(effects, RelayEffect.SendAttempt.class), effects.toString());
    RelayEffect.Refuse refuse = only(effects, RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.QUARANTINED);
    assertEquals(refuse.retryAfterMillis(), 0, "no retry delay for a quarantined request");
  }

  /**
   * The request is refused permanently before it is sent to an upstream; other requests are served.
   */
  @Test
  public void quarantinedRequestIsRefusedOnArrival() {
    quarantine(1);
    assertRefused(entry.arrives(1, "/lookup/x"));
    entry.send(2, "/lookup/x");
  }

  /** A request that is quarantined while it is in progress gets no further attempts. */
  @Test
  public void requestQuarantinedInProgressIsNotRetried() {
    entry.send(1, "/lookup/x");
    quarantine(1);
    assertRefused(entry.fails(1, 1, AttemptFailure.NO_ANSWER, null));
    entry.send(2, "/lookup/x");
    quarantine(2);
    assertRefused(entry.fails(2, 1, AttemptFailure.NOT_SENT, null));
    entry.send(3, "/book/x");
    quarantine(3);
    assertRefused(entry.answers(3, 1, 503, true));
  }

  /** A stream that has begun is aborted and not continued at another upstream. */
  @Test
  public void startedStreamIsAborted() {
    entry.send(1, "/stream/x");
    entry.answers(1, 1, 200, false);
    quarantine(1);
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.BROKEN_OFF, "4");
    assertTrue(none(effects, RelayEffect.SendAttempt.class), effects.toString());
    only(effects, RelayEffect.BreakOff.class);
  }

  /** An answer whose low confidence would cause an escalation is forwarded instead. */
  @Test
  public void quarantinedRequestIsNotEscalated() {
    entry.send(1, "/sized/x");
    quarantine(1);
    List<RelayEffect> effects = entry.apply(new RelayEvent.AnswerBegan(1, 1, 200, false, 0));
    only(effects, RelayEffect.PassAnswer.class);
    assertTrue(none(effects, RelayEffect.SendAttempt.class), effects.toString());
  }
}
