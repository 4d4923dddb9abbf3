package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ConfidenceCascade}. */
public final class ConfidenceCascadeTest {

  private static final RelayRoute ROUTE =
      RelayFixture.route("/a/", RouteKind.STREAMING, true, List.of("small", "middle", "large"));

  private AnswerTimes times = new AnswerTimes();
  private ConfidenceCascade cascade = new ConfidenceCascade(times);

  /** Creates a new policy for each test. */
  @BeforeMethod
  public void setUp() {
    times = new AnswerTimes();
    cascade = new ConfidenceCascade(times);
  }

  private boolean escalates(@Nullable Integer confidence, long elapsedMillis, double waitMillis) {
    return escalates(confidence, elapsedMillis, waitMillis, 200, 20_000);
  }

  private boolean escalates(
      @Nullable Integer confidence,
      long elapsedMillis,
      double waitMillis,
      double prefillMillis,
      long leftMillis) {
    TrackedUpstream upstream =
        new TrackedUpstream(
            new UpstreamStatus(RelayFixture.instance("up", "v1"), UpstreamCondition.READY));
    Placement placement =
        new Placement(upstream, waitMillis, prefillMillis, waitMillis + prefillMillis, 1000, null);
    ActiveRelay relay = relay(RelayFixture.START.plusMillis(leftMillis + elapsedMillis));
    relay.confidence = confidence;
    return cascade.shouldEscalate(relay, placement, RelayFixture.START.plusMillis(elapsedMillis));
  }

  private static ActiveRelay relay(Instant deadline) {
    RelayService service = new RelayService("service", "/health", 100, null);
    ActiveRelay relay =
        new ActiveRelay(
            RelayFixture.request(1, "/a/", null),
            ROUTE,
            service,
            null,
            RelayFixture.START,
            deadline);
    relay.modelIndex = 0;
    return relay;
  }

  /** Records enough answers of ten tokens by the largest model for an estimate. */
  private void recordAnswers(double millis, boolean whole) {
    ActiveRelay ended = relay(RelayFixture.START.plusSeconds(20));
    ended.modelIndex = 2;
    for (int answer = 0; answer < 20; answer++) {
      times.recordEnd(ended, millis, whole);
    }
  }

  /**
   * The present answer is kept if the larger model's answer would begin soon but be cut off at the
   * caller's deadline, which would lose both.
   */
  @Test
  public void answerIsKeptIfLargerModelsAnswerWouldNotEnd() {
    assertTrue(escalates(10, 100, 0, 200, 5000), "nothing is known of its length");
    recordAnswers(5000, true);
    assertFalse(escalates(10, 100, 0, 200, 5000));
    assertTrue(escalates(10, 100, 0, 200, 20_000));
  }

  /** A short answer may begin late, because it ends soon after. */
  @Test
  public void shortAnswerMayBeginLate() {
    assertFalse(escalates(10, 100, 0, 700, 1000), "nothing is known of its length");
    recordAnswers(50, true);
    assertTrue(escalates(10, 100, 0, 700, 1000));
  }

  /**
   * Answers that were cut off at the deadline count as longer ones; otherwise no long answer would
   * be recorded.
   */
  @Test
  public void truncatedAnswersCountAsLongerOnes() {
    recordAnswers(4000, true);
    double before = times.expectedMillis(relay(RelayFixture.START), "large", 0);
    recordAnswers(1000, false);
    assertTrue(times.expectedMillis(relay(RelayFixture.START), "large", 0) >= before);
  }

  @Test
  public void escalationGoesToTheLargestModel() {
    assertEquals(cascade.firstModel(ROUTE, RelayFixture.request(1, "/a/", "key")), 0);
    assertEquals(cascade.largerModel(ROUTE, 0), 2);
    assertEquals(cascade.largerModel(ROUTE, 2), -1);
  }

  @Test
  public void answersOfLowConfidenceEscalateInTime() {
    assertTrue(escalates(49, 100, 50));
    assertFalse(escalates(50, 100, 50));
    assertFalse(escalates(null, 100, 50));
    assertFalse(escalates(10, 700, 400), "the wait makes it late");
  }

  /**
   * A long prompt that is late only because of its own prefill still escalates to the right answer.
   */
  @Test
  public void longPromptEscalatesWithoutQueue() {
    assertTrue(escalates(10, 100, 10, 1500, 20_000));
  }

  /**
   * The present answer is kept if the larger model would begin after most of the caller's time has
   * passed and its answer couldn't end.
   */
  @Test
  public void answerIsKeptIfTimeIsTooShort() {
    assertTrue(escalates(10, 100, 0, 200, 1000));
    assertFalse(escalates(10, 100, 0, 450, 1000));
  }

  /**
   * Under overload callers get an answer of low confidence in time; otherwise all answers would be
   * late.
   */
  @Test
  public void overloadLowersTheConfidenceThreshold() {
    assertFalse(escalates(40, 100, 500));
    assertTrue(escalates(9, 100, 500));
    assertFalse(escalates(40, 100, 300));
    assertTrue(escalates(29, 100, 300));
  }
}
