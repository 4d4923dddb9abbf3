package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.List;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.reachability.UpstreamPaths;
import org.skylarkfork.core.rollout.AttemptCounts;
import org.skylarkfork.core.rollout.VersionCounts;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of what an entry reports of attempts by version, before and after they are answered. */
public final class AttemptReportTest {

  private RelayFixture entry = new RelayFixture();

  /** Creates a new entry for each test. */
  @BeforeMethod
  public void setUp() {
    entry = new RelayFixture();
  }

  private AttemptCounts attemptsAfter(long millis) {
    List<VersionCounts> report =
        entry.counts.report(entry.view.paths(), RelayFixture.START.plus(Duration.ofMillis(millis)));
    return report.stream()
        .map(VersionCounts::attempts)
        .reduce(AttemptCounts.NONE, AttemptCounts::plus);
  }

  /** Guards against a slow version that shows only once its answers arrive. */
  @Test
  public void unansweredAttemptsAreReportedWithTheirAge() {
    entry.send(1, "/lookup/x");
    entry.send(2, "/lookup/x");
    assertEquals(attemptsAfter(300), new AttemptCounts(2, 2, 2, 600, 0, 0));
    entry.answers(1, 1, 200, false);
    assertEquals(attemptsAfter(300), new AttemptCounts(2, 2, 1, 300, 0, 0));
  }

  /** Guards against an old version that seems in use for ever, or unused while it works. */
  @Test
  public void attemptsStayOpenUntilTheyEnd() {
    entry.send(1, "/stream/x");
    entry.answers(1, 1, 200, false);
    assertEquals(attemptsAfter(300).open(), 1);
    entry.apply(new RelayEvent.AnswerEnded(1, 1));
    assertEquals(attemptsAfter(300), new AttemptCounts(1, 0, 0, 0, 0, 0));
  }

  /** Guards against a version so slow that its callers leave, which leaves no other trace. */
  @Test
  public void attemptsOfCallersThatLeaveAreReported() {
    entry.send(1, "/lookup/x");
    entry.advance(400);
    entry.apply(new RelayEvent.CallerLeft(1));
    assertEquals(attemptsAfter(600), new AttemptCounts(1, 0, 0, 0, 1, 400));
  }

  /** Guards against a sound version that is blamed for an entry's own cut links. */
  @Test
  public void attemptsOverCutLinksAreNotReportedAsWaiting() {
    entry.send(1, "/lookup/x");
    UpstreamPaths paths = entry.view.paths();
    paths.updateForwarders(List.of("other"));
    for (String upstream : List.of("up-1", "up-2")) {
      paths.recordConnect(
          "service", upstream, null, ConnectOutcome.UPSTREAM_UNREACHABLE, 2, RelayFixture.START);
    }
    assertEquals(attemptsAfter(300), new AttemptCounts(1, 1, 0, 0, 0, 0));
  }

  /**
   * Guards against a good version that seems slow because its newest attempts can't be answered.
   */
  @Test
  public void attemptsYoungerThanUsualAreNotReportedAsWaiting() {
    entry.counts.recordAnswer(RelayFixture.instance("up-0", "v0"), 350);
    entry.send(1, "/lookup/x");
    assertEquals(attemptsAfter(300), new AttemptCounts(1, 1, 0, 0, 0, 0));
    assertEquals(attemptsAfter(400), new AttemptCounts(1, 1, 1, 400, 0, 0));
  }
}
