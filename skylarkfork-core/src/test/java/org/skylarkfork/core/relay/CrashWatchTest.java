package org.skylarkfork.core.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.testing.RecordedOutput;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link CrashWatch}. */
public final class CrashWatchTest {

  private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
  private static final UpstreamInstance UPSTREAM = RelayFixture.instance("up-1", "v1");

  private CrashWatch watch = new CrashWatch(new RelayFixture.FakeView());
  private RecordedOutput output = new RecordedOutput();

  /** Each test begins anew. */
  @BeforeMethod
  public void setUp() {
    watch = new CrashWatch(new RelayFixture.FakeView());
    output = new RecordedOutput();
  }

  private void lost(long content) {
    watch.lost(UPSTREAM, new RequestKey("team", content), START, START, output);
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
    watch.probed(UPSTREAM.run(), false, START.plusMillis(3), output);
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
    watch.probed(UPSTREAM.run(), true, START.plusMillis(3), output);
    assertEquals(lines(), List.of());
    lost(2);
    assertEquals(output.effects(RelayEffect.ProbeUpstream.class).size(), 2);
  }

  /** Losses are kept for a few seconds only, so that what is kept stays bounded. */
  @Test
  public void oldLossesAreForgotten() {
    lost(1);
    watch.tick(START.plusSeconds(6), output);
    watch.probed(UPSTREAM.run(), false, START.plusSeconds(7), output);
    assertEquals(lines(), List.of());
  }
}
