package org.skylarkfork.core.crash;

import static org.testng.Assert.assertEquals;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link CrashCorrelator}. */
public final class CrashCorrelatorTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final int SETTLED = 200;

  private CrashCorrelator ledger = new CrashCorrelator();
  private Instant now = START;

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    ledger = new CrashCorrelator();
    now = START;
  }

  private static RequestKey key(long content) {
    return new RequestKey("team", content);
  }

  /** Lets an upstream end under requests that were sent 100 ms before, and all be told. */
  private List<RequestKey> ends(String upstream, long... contents) {
    now = now.plusMillis(300);
    lost(upstream, contents);
    now = now.plusMillis(SETTLED);
    return ledger.findCrashing(now);
  }

  private void lost(String upstream, long... contents) {
    for (long content : contents) {
      UpstreamRun run = new UpstreamRun(upstream, 0);
      ledger.recordLoss(run, key(content), now.minusMillis(100), now.minusMillis(2), now);
    }
  }

  /**
   * Three upstreams end one after the other under one request; others are lost with it, each at one
   * or two of them. Only the one is found, and no sooner.
   */
  @Test
  public void requestUnderWhichThreeUpstreamsEndedIsFound() {
    assertEquals(ends("up-1", 1, 10, 11), List.of());
    assertEquals(ends("up-2", 12, 10, 1), List.of());
    assertEquals(ends("up-3", 13, 1), List.of(key(1)));
  }

  /** Entries tell an end again, for a message may be lost; it counts once. */
  @Test
  public void endThatIsToldAgainCountsOnce() {
    for (int time = 0; time < 5; time++) {
      assertEquals(ends("up-1", 1), List.of());
    }
  }

  /**
   * A good request travels with one that ends its upstreams, and is lost as often. Neither is
   * refused yet; at the next end it isn't there.
   */
  @Test
  public void requestsThatAreLostTogetherAreToldApartByTheNextEnd() {
    ends("up-1", 1, 2);
    ends("up-2", 1, 2);
    assertEquals(ends("up-3", 1, 2), List.of());
    assertEquals(ends("up-4", 1), List.of(key(1)));
  }

  /** Of two that were lost together each time, one is answered: the other has ended upstreams. */
  @Test
  public void requestsThatAreLostTogetherAreToldApartByAnAnswer() {
    ends("up-1", 1, 2);
    ends("up-2", 1, 2);
    assertEquals(ends("up-3", 1, 2), List.of());
    assertEquals(ledger.findCrashing(now), List.of());
    ledger.recordServed(key(2), now);
    assertEquals(ledger.findCrashing(now), List.of(key(1)));
  }

  /** Many callers send the same lookup; a zone is lost and takes all that run it at once. */
  @Test
  public void upstreamsThatEndTogetherCountOnceForWhatRanOnAllOfThem() {
    for (int upstream = 1; upstream <= 10; upstream++) {
      lost("up-" + upstream, 1);
    }
    now = now.plusMillis(SETTLED);
    assertEquals(ledger.findCrashing(now), List.of());
  }

  /**
   * A caller sends a request that ends upstreams to several entries at once, so that most ends come
   * under attempts that were under way together. Good requests that moved on from each end to the
   * next were lost in turn more often, but less often in all.
   */
  @Test
  public void requestThatIsSentManyTimesAtOnceIsFoundBeforeItsVictims() {
    for (int upstream = 1; upstream <= 5; upstream++) {
      lost("up-" + upstream, 1);
    }
    lost("up-1", 2);
    now = now.plusMillis(150);
    lost("up-2", 2);
    now = now.plusMillis(150);
    lost("up-3", 2);
    now = now.plusMillis(150);
    lost("up-6", 2, 1);
    now = now.plusMillis(SETTLED);
    assertEquals(ledger.findCrashing(now), List.of(key(1)));
  }

  /** A request that is unlucky twice and then answered begins from nothing. */
  @Test
  public void answerClearsRequest() {
    ends("up-1", 1);
    ends("up-2", 1);
    ledger.recordServed(key(1), now);
    lost("up-2", 1);
    assertEquals(ends("up-3", 1), List.of());
  }

  /** What was lost beside a request that is refused needs no other reason. */
  @Test
  public void endsUnderRefusedRequestCountAgainstNoOther() {
    ends("up-1", 1, 2);
    ends("up-2", 1, 2);
    ends("up-3", 1, 2);
    assertEquals(ends("up-4", 1), List.of(key(1)));
    ledger.markExplained(key(1));
    assertEquals(ledger.findCrashing(now), List.of());
    now = now.plusSeconds(1);
    assertEquals(ledger.findCrashing(now), List.of());
  }

  /**
   * Two requests that end upstreams come at once, and each is lost at the other's too. Once one is
   * refused, the next end shows the other.
   */
  @Test
  public void secondRequestIsFoundAtItsNextEnd() {
    ends("up-1", 1, 2);
    ends("up-2", 1, 2);
    ends("up-3", 1, 2);
    assertEquals(ends("up-4", 1), List.of(key(1)));
    ledger.markExplained(key(1));
    assertEquals(ends("up-5", 2, 3), List.of(key(2)));
  }

  /** A request that is let through again is refused after one more end. */
  @Test
  public void requestOnProbationIsFoundAtItsNextEnd() {
    ledger.putOnProbation(key(1));
    assertEquals(ends("up-1", 1, 2), List.of(key(1)));
  }

  /** Ends of long ago say nothing of today's upstreams. */
  @Test
  public void oldEndsAreForgotten() {
    ends("up-1", 1);
    ends("up-2", 1);
    now = now.plusSeconds(601);
    assertEquals(ends("up-3", 1), List.of());
  }
}
