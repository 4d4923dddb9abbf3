package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.crash.CrashDetector;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.crash.SuspectedUpstream;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.CrashMessage;
import org.skylarkfork.core.message.CrashMessage.LostRequest;
import org.skylarkfork.core.message.CrashMessage.RequestServed;
import org.skylarkfork.core.message.CrashMessage.UpstreamEnded;
import org.skylarkfork.core.testing.RecordedOutput;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link CrashDetector}. */
public final class CrashDetectorTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final UpstreamInstance UPSTREAM = RelayFixture.instance("up-1", "v1");
  private static final SuspectedUpstream WATCHED =
      new SuspectedUpstream(
          UPSTREAM.run(),
          UPSTREAM.service(),
          UPSTREAM.version(),
          new RelayEffect.ProbeUpstream(UPSTREAM));

  private RelayFixture.FakeView view = new RelayFixture.FakeView();
  private CrashDetector watch =
      new CrashDetector(new LeaderCrashReviewers(view), "upstreams_ended");
  private RecordedOutput output = new RecordedOutput();

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    view = new RelayFixture.FakeView();
    watch = new CrashDetector(new LeaderCrashReviewers(view), "upstreams_ended");
    output = new RecordedOutput();
  }

  private void lost(long content) {
    watch.recordLoss(WATCHED, new RequestKey("team", content), START, START, output);
  }

  private List<String> lines() {
    return output.effects(TraceEffect.LogLine.class).stream()
        .map(TraceEffect.LogLine::sentence)
        .toList();
  }

  /**
   * Operators read in one line which requests were lost as an upstream ended. Two requests lose
   * their connections to it, one probe is made, and finds that it takes none any more.
   */
  @Test
  public void endOfAnUpstreamIsToldWithTheRequestsThatItRan() {
    lost(1);
    lost(0xabc);
    assertEquals(output.effects(RelayEffect.ProbeUpstream.class).size(), 1);
    watch.onProbeResult(UPSTREAM.run(), false, START.plusMillis(3), output);
    assertEquals(lines().size(), 1);
    String line = lines().get(0);
    assertTrue(line.startsWith("event=upstream_ended id=up-1 service=service"), line);
    assertTrue(line.contains("lost=2"), line);
    assertTrue(line.contains("team/0000000000000abc"), line);
    assertEquals(output.effects(TraceEffect.Count.class).size(), 1);
  }

  /** A connection is reset, but the upstream takes new ones: nothing has ended. */
  @Test
  public void upstreamThatTakesConnectionsHasNotEnded() {
    lost(1);
    watch.onProbeResult(UPSTREAM.run(), true, START.plusMillis(3), output);
    assertEquals(lines(), List.of());
    lost(2);
    assertEquals(output.effects(RelayEffect.ProbeUpstream.class).size(), 2);
  }

  /** Losses are kept for a few seconds only, so that what is kept stays bounded. */
  @Test
  public void oldLossesAreForgotten() {
    lost(1);
    watch.tick(START.plusSeconds(6), output);
    watch.onProbeResult(UPSTREAM.run(), false, START.plusSeconds(7), output);
    assertEquals(lines(), List.of());
  }

  private List<SendToPeer> told(Class<? extends CrashMessage> type) {
    return output.effects(SendToPeer.class).stream()
        .filter(sent -> type.isInstance(sent.message()))
        .toList();
  }

  /**
   * A message to the leader is lost, and then the leader itself. What was lost with an upstream is
   * told again for two seconds, and once more to each new leader; unknown there, the request would
   * end as many upstreams again.
   */
  @Test
  public void endIsToldAgainAndToNewLeaders() {
    lost(1);
    watch.onProbeResult(UPSTREAM.run(), false, START, output);
    assertEquals(told(UpstreamEnded.class).size(), 1);
    assertEquals(told(UpstreamEnded.class).get(0).node(), "control-1");
    for (int tick = 1; tick <= 100; tick++) {
      watch.tick(START.plusMillis(100L * tick), output);
    }
    assertEquals(told(UpstreamEnded.class).size(), 4);
    view.leader = null;
    watch.tick(START.plusSeconds(11), output);
    assertEquals(told(UpstreamEnded.class).size(), 4);
    view.leader = "control-2";
    watch.tick(START.plusSeconds(12), output);
    watch.tick(START.plusSeconds(13), output);
    assertEquals(told(UpstreamEnded.class).size(), 5);
    SendToPeer last = told(UpstreamEnded.class).get(4);
    assertEquals(last.node(), "control-2");
    UpstreamEnded ended = (UpstreamEnded) last.message();
    assertEquals(ended.lost(), List.of(new LostRequest(new RequestKey("team", 1), 12000, 12000)));
  }

  /** One that is lost a little later, or was left for its silence, belongs to the same end. */
  @Test
  public void laterLossIsToldAtOnce() {
    lost(1);
    watch.onProbeResult(UPSTREAM.run(), false, START, output);
    lost(2);
    UpstreamEnded last = (UpstreamEnded) told(UpstreamEnded.class).get(1).message();
    assertEquals(last.lost().size(), 1);
    assertEquals(last.lost().get(0).key().content(), 2);
  }

  /** A request that is answered in the end is cleared at the leader; others aren't named. */
  @Test
  public void answerIsToldOfLostRequestsOnly() {
    lost(1);
    watch.onProbeResult(UPSTREAM.run(), false, START, output);
    watch.recordServed(new RequestKey("team", 2), output);
    assertEquals(told(RequestServed.class), List.of());
    watch.recordServed(new RequestKey("team", 1), output);
    watch.recordServed(new RequestKey("team", 1), output);
    assertEquals(told(RequestServed.class).size(), 1);
  }
}
