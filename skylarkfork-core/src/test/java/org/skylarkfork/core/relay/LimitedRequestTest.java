package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of requests whose upstreams name a rate limit. */
public final class LimitedRequestTest {

  private static final RateLimit HALF_A_SECOND = new RateLimit(0.5);

  private RelayFixture entry = new RelayFixture();

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  private void limit(int from) {
    List<TrackedUpstream> tracks = entry.view.tracks;
    tracks
        .subList(from, tracks.size())
        .forEach(track -> track.rate().recordLimit(HALF_A_SECOND, RelayFixture.START));
  }

  /** Guards against callers that wait for their deadline, or come back before there is a place. */
  @Test
  public void requestIsRefusedAtOnceWithTheTimeOfTheNextPlace() {
    limit(0);
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.arrives(1, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.NO_UPSTREAM);
    assertEquals(refuse.retryAfterMillis(), 2000);
    entry.pass(2000);
    for (long number = 2; number <= 4; number++) {
      entry.sent(number, "/lookup/x");
    }
    RelayEffect.Refuse next =
        RelayFixture.only(entry.arrives(5, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(next.retryAfterMillis(), 2000);
  }

  /** Guards against callers that are lured back though their request may have run. */
  @Test
  public void requestThatMayHaveRunIsToldNoTimeToComeBack() {
    for (long number = 100; number < 120; number++) {
      entry.sent(number, "/lookup/x");
      entry.apply(new RelayEvent.CallerLeft(number));
    }
    limit(1);
    entry.sent(1, "/lookup/x");
    entry.fails(1, 1, AttemptFailure.NO_ANSWER, null);
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.answers(1, 2, 503, true), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.OUTCOME_UNKNOWN);
    assertEquals(refuse.retryAfterMillis(), 0);
  }

  /** Guards against an upstream that is free as soon as it fails one request. */
  @Test
  public void failureWithoutLimitLiftsNone() {
    limit(0);
    entry.arrives(1, "/book/x");
    entry.pass(2000);
    entry.sent(2, "/book/x");
    entry.apply(new RelayEvent.AnswerBegan(2, 1, 500, false, null, RateLimit.NONE));
    long limited =
        entry.view.tracks.stream().filter(track -> track.rateLimit().isBounded()).count();
    assertEquals(limited, 3);
  }
}
