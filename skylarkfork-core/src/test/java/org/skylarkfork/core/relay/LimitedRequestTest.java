package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests requests whose upstreams report a rate limit. */
public final class LimitedRequestTest {

  private static final RateLimit ONE_PER_TWO_SECONDS = new RateLimit(0.5);

  private RelayFixture entry = new RelayFixture();

  /** Creates a new entry for each test. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  private void limitUpstreams(int firstIndex) {
    List<TrackedUpstream> upstreams = entry.view.trackedUpstreams;
    upstreams
        .subList(firstIndex, upstreams.size())
        .forEach(upstream -> upstream.rate().recordLimit(ONE_PER_TWO_SECONDS, RelayFixture.START));
  }

  /**
   * Guards against callers that wait until their deadline, or retry before an upstream accepts the
   * request.
   */
  @Test
  public void requestIsRefusedImmediatelyWithRetryDelay() {
    limitUpstreams(0);
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.arrives(1, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.NO_UPSTREAM);
    assertEquals(refuse.retryAfterMillis(), 2000);
    entry.advance(2000);
    for (long number = 2; number <= 4; number++) {
      entry.send(number, "/lookup/x");
    }
    RelayEffect.Refuse next =
        RelayFixture.only(entry.arrives(5, "/lookup/x"), RelayEffect.Refuse.class);
    assertEquals(next.retryAfterMillis(), 2000);
  }

  /**
   * Guards against a retry delay in the refusal of a request that may have run, since the caller
   * would retry it.
   */
  @Test
  public void requestThatMayHaveRunIsRefusedWithoutRetryDelay() {
    for (long number = 100; number < 120; number++) {
      entry.send(number, "/lookup/x");
      entry.apply(new RelayEvent.CallerLeft(number));
    }
    limitUpstreams(1);
    entry.send(1, "/lookup/x");
    entry.fails(1, 1, AttemptFailure.NO_ANSWER, null);
    RelayEffect.Refuse refuse =
        RelayFixture.only(entry.answers(1, 2, 503, true), RelayEffect.Refuse.class);
    assertEquals(refuse.refusal(), Refusal.OUTCOME_UNKNOWN);
    assertEquals(refuse.retryAfterMillis(), 0);
  }

  /**
   * Guards against an upstream's rate limit that is dropped when the upstream fails a request
   * without reporting a limit.
   */
  @Test
  public void failureWithoutReportedLimitKeepsLimits() {
    limitUpstreams(0);
    entry.arrives(1, "/book/x");
    entry.advance(2000);
    entry.send(2, "/book/x");
    entry.apply(new RelayEvent.AnswerBegan(2, 1, 500, false, null, RateLimit.NONE));
    long limited =
        entry.view.trackedUpstreams.stream()
            .filter(upstream -> upstream.rateLimit().isBounded())
            .count();
    assertEquals(limited, 3);
  }
}
