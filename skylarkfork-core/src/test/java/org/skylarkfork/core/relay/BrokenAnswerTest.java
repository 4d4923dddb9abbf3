package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.skylarkfork.core.answer.ForwardedEvents;
import org.skylarkfork.core.answer.ReceivedAnswer;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.reachability.PathState;
import org.skylarkfork.core.reachability.UpstreamPaths;
import org.skylarkfork.core.rollout.VersionCounts;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of what an entry makes of answers that broke off. */
public final class BrokenAnswerTest {

  private RelayFixture entry = new RelayFixture();

  /** Creates a new entry for each test. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  private void fillRetryBudget() {
    for (long number = 1000; number < 1020; number++) {
      entry.send(number, "/lookup/x");
      entry.apply(new RelayEvent.CallerLeft(number));
    }
  }

  /**
   * Guards against events that come twice, since the run after them can't be told where to go on.
   */
  @Test
  public void brokenStreamWithoutKnownPlaceIsNotContinued() {
    fillRetryBudget();
    entry.send(1, "/stream/x");
    entry.answers(1, 1, 200, false);
    List<RelayEffect> effects =
        entry.apply(
            new RelayEvent.AttemptFailed(
                1,
                1,
                AttemptFailure.BROKEN_OFF,
                new ForwardedEvents("4", false),
                ReceivedAnswer.NOTHING));
    RelayFixture.only(effects, RelayEffect.BreakOff.class);
  }

  /** Guards against events that come twice on a route whose streams can't be resumed. */
  @Test
  public void brokenStreamOfRouteWithoutResumptionIsNotContinued() {
    fillRetryBudget();
    entry.send(1, "/lookup/x");
    entry.answers(1, 1, 200, false);
    List<RelayEffect> effects = entry.fails(1, 1, AttemptFailure.BROKEN_OFF, "4");
    RelayFixture.only(effects, RelayEffect.BreakOff.class);
  }

  /** Guards against a sound version that is rolled back since an entry's own links were cut. */
  @Test
  public void resetsOfCutLinksDoNotCountAgainstTheVersion() {
    fillRetryBudget();
    final long before = failures();
    entry.send(1, "/book/x");
    entry.fails(1, 1, AttemptFailure.NO_ANSWER, null);
    cutLinks();
    entry.advance(5_000);
    assertEquals(failures(), before);
  }

  /** Guards against a version that ends its upstreams and stays in use. */
  @Test
  public void lossesOverWorkingLinksCountAgainstTheVersion() {
    fillRetryBudget();
    final long before = failures();
    entry.send(1, "/book/x");
    entry.fails(1, 1, AttemptFailure.NO_ANSWER, null);
    entry.advance(1_000);
    assertEquals(failures(), before + 1);
  }

  /** Guards against a sound upstream that is avoided since others' answers filled the buffers. */
  @Test
  public void answerThatIsGivenUpForItsSizeDoesNotCountAgainstTheUpstream() {
    entry.send(1, "/book/x");
    entry.fails(1, 1, AttemptFailure.BUFFERS_FULL, null);
    for (TrackedUpstream upstream : entry.view.upstreams("service")) {
      assertEquals(upstream.failureShare(), 0.0);
    }
  }

  private long failures() {
    return entry.counts.allCounts().stream().mapToLong(VersionCounts::failures).sum();
  }

  private void cutLinks() {
    UpstreamPaths paths = entry.view.paths();
    paths.updateForwarders(List.of("other"));
    for (String upstream : List.of("up-1", "up-2")) {
      paths.recordConnect(
          "service", upstream, null, ConnectOutcome.UPSTREAM_UNREACHABLE, 2, RelayFixture.START);
    }
    paths.recordConnect("service", "up-1", "other", ConnectOutcome.OPENED, 2, RelayFixture.START);
    assertEquals(paths.state("service"), PathState.FORWARDED);
  }
}
