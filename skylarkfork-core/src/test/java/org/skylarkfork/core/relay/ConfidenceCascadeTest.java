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

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    times = new AnswerTimes();
    cascade = new ConfidenceCascade(times);
  }

  private boolean asks(@Nullable Integer confidence, long usedMillis, double waitMillis) {
    return asks(confidence, usedMillis, waitMillis, 200, 20_000);
  }

  private boolean asks(
      @Nullable Integer confidence,
      long usedMillis,
      double waitMillis,
      double readMillis,
      long leftMillis) {
    TrackedUpstream track =
        new TrackedUpstream(
            new UpstreamStatus(RelayFixture.instance("up", "v1"), UpstreamCondition.READY));
    Placement placement =
        new Placement(track, waitMillis, readMillis, waitMillis + readMillis, 1000, null);
    ActiveRelay relay = relay(RelayFixture.START.plusMillis(leftMillis + usedMillis));
    relay.confidence = confidence;
    return cascade.shouldEscalate(relay, placement, RelayFixture.START.plusMillis(usedMillis));
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

  /** Lets the largest model's answers of ten tokens take some time, as often as counts. */
  private void learn(double millis, boolean whole) {
    ActiveRelay ended = relay(RelayFixture.START.plusSeconds(20));
    ended.modelIndex = 2;
    for (int answer = 0; answer < 20; answer++) {
      times.recordEnd(ended, millis, whole);
    }
  }

  /**
   * The caller gets the answer at hand. The larger model's would begin soon, but is so long that it
   * would break off at the caller's deadline, and nothing of either would count.
   */
  @Test
  public void answerIsKeptWhereTheOtherOneWouldNotEnd() {
    assertTrue(asks(10, 100, 0, 200, 5000), "nothing is known of its length");
    learn(5000, true);
    assertFalse(asks(10, 100, 0, 200, 5000));
    assertTrue(asks(10, 100, 0, 200, 20_000));
  }

  /** A short answer may begin late: all of it is over soon after. */
  @Test
  public void shortAnswerMayBeginLate() {
    assertFalse(asks(10, 100, 0, 700, 1000), "nothing is known of its length");
    learn(50, true);
    assertTrue(asks(10, 100, 0, 700, 1000));
  }

  /**
   * Answers that broke off at the deadline tell that they take longer, else none would be known.
   */
  @Test
  public void brokenOffAnswersCountAsLongerOnes() {
    learn(4000, true);
    double before = times.expectedMillis(relay(RelayFixture.START), "large", 0);
    learn(1000, false);
    assertTrue(times.expectedMillis(relay(RelayFixture.START), "large", 0) >= before);
  }

  @Test
  public void theLargestModelIsAskedAfterTheOthers() {
    assertEquals(cascade.firstModel(ROUTE, RelayFixture.request(1, "/a/", "key")), 0);
    assertEquals(cascade.largerModel(ROUTE, 0), 2);
    assertEquals(cascade.largerModel(ROUTE, 2), -1);
  }

  @Test
  public void doubtedAnswersAreAskedAgainInTime() {
    assertTrue(asks(49, 100, 50));
    assertFalse(asks(50, 100, 50));
    assertFalse(asks(null, 100, 50));
    assertFalse(asks(10, 700, 400), "the wait makes it late");
  }

  /** A long prompt that is late for its own reading alone still gets its right answer. */
  @Test
  public void lateAnswerIsAskedWhereNothingIsAhead() {
    assertTrue(asks(10, 100, 10, 1500, 20_000));
  }

  /**
   * The caller gets the answer that is ready. The larger model would begin after most of the time
   * that the caller has is over, and its answer could not be ended.
   */
  @Test
  public void answerIsKeptWhereThereIsNoTimeForAnother() {
    assertTrue(asks(10, 100, 0, 200, 1000));
    assertFalse(asks(10, 100, 0, 450, 1000));
  }

  /** Callers get a doubtful answer in time in place of all answers late. */
  @Test
  public void underStrainOnlyTheMostDoubtfulAnswersAreAskedAgain() {
    assertFalse(asks(40, 100, 500));
    assertTrue(asks(9, 100, 500));
    assertFalse(asks(40, 100, 300));
    assertTrue(asks(29, 100, 300));
  }
}
