package org.skylarkfork.core.reachability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests of {@link UpstreamPaths}. */
public final class UpstreamPathsTest {

  private static final int UPSTREAMS = 3;
  private static final String SERVICE = "service";

  private final Instant start = Instant.parse("2026-01-01T00:00:00Z");

  private static UpstreamPaths pathsWith(String... forwarders) {
    UpstreamPaths paths = new UpstreamPaths();
    paths.updateForwarders(List.of(forwarders));
    return paths;
  }

  private void connect(
      UpstreamPaths paths,
      String upstream,
      @Nullable String forwarder,
      ConnectOutcome outcome,
      long millis) {
    paths.recordConnect(SERVICE, upstream, forwarder, outcome, UPSTREAMS, at(millis));
  }

  private Instant at(long millis) {
    return start.plusMillis(millis);
  }

  private UpstreamPaths cutPaths(String... forwarders) {
    UpstreamPaths paths = pathsWith(forwarders);
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 0);
    connect(paths, "up-2", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 10);
    connect(paths, "up-3", forwarders[0], ConnectOutcome.OPENED, 20);
    return paths;
  }

  @Test
  public void oneUnreachableUpstreamDoesNotMakeTheLinksSuspect() {
    UpstreamPaths paths = pathsWith("b");
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 0);
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 10);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
    assertNull(paths.forwarder(SERVICE, at(20)));
  }

  /** Guards against refusing callers because all own links are cut. */
  @Test
  public void connectionsAreForwardedOnceSeveralUpstreamsAreUnreachable() {
    UpstreamPaths paths = pathsWith("b", "c");
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 0);
    connect(paths, "up-2", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 500);
    assertEquals(paths.state(SERVICE), PathState.SUSPECTED);
    assertNotNull(paths.forwarder(SERVICE, at(500)));
    connect(paths, "up-1", "b", ConnectOutcome.OPENED, 510);
    assertEquals(paths.state(SERVICE), PathState.FORWARDED);
    assertEquals(paths.cutServices(), List.of(SERVICE));
  }

  /** Guards against suspecting the links when some upstreams crash and others answer. */
  @Test
  public void connectionBetweenFailuresShowsThatTheLinksWork() {
    UpstreamPaths paths = pathsWith("b");
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 0);
    connect(paths, "up-2", null, ConnectOutcome.OPENED, 10);
    connect(paths, "up-3", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 20);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
  }

  /** Guards against forwarding for good when the upstreams are gone and not the links. */
  @Test
  public void upstreamsThatNobodyReachesAreGone() {
    UpstreamPaths paths = pathsWith("b", "c");
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 0);
    connect(paths, "up-2", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 10);
    connect(paths, "up-1", "b", ConnectOutcome.UPSTREAM_UNREACHABLE, 20);
    connect(paths, "up-2", "b", ConnectOutcome.UPSTREAM_UNREACHABLE, 20);
    assertEquals(paths.state(SERVICE), PathState.SUSPECTED);
    connect(paths, "up-2", "c", ConnectOutcome.UPSTREAM_UNREACHABLE, 30);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
    connect(paths, "up-3", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 40);
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 50);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
  }

  /** Guards against taking the upstreams for gone because two other entries are cut as well. */
  @Test
  public void forwardersWithCutLinksDoNotShowThatUpstreamsAreGone() {
    UpstreamPaths paths = pathsWith("b", "c", "d", "e");
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 0);
    connect(paths, "up-2", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 10);
    connect(paths, "up-1", "b", ConnectOutcome.UPSTREAM_UNREACHABLE, 20);
    connect(paths, "up-2", "c", ConnectOutcome.UPSTREAM_UNREACHABLE, 30);
    assertEquals(paths.state(SERVICE), PathState.SUSPECTED);
    connect(paths, "up-2", "d", ConnectOutcome.OPENED, 40);
    assertEquals(paths.state(SERVICE), PathState.FORWARDED);
  }

  /** Guards against asking an entry again whose own links are cut as well. */
  @Test
  public void unusableForwarderIsAvoidedForSomeTime() {
    UpstreamPaths paths = cutPaths("b", "c");
    connect(paths, "up-1", "b", ConnectOutcome.FORWARDER_UNUSABLE, 30);
    Set<String> used = new HashSet<>();
    for (int request = 0; request < 4; request++) {
      used.add(String.valueOf(paths.forwarder(SERVICE, at(40))));
    }
    assertEquals(used, Set.of("c"));
    connect(paths, "up-1", "c", ConnectOutcome.FORWARDER_UNUSABLE, 50);
    assertNull(paths.forwarder(SERVICE, at(60)));
    assertFalse(paths.isForwarded(SERVICE, at(60)));
    assertNotNull(paths.forwarder(SERVICE, at(1060)));
  }

  /** Guards against asking only entries of the same zone, whose links may all be cut. */
  @Test
  public void furtherForwardersAreUsedIfThePreferredOnesAreUnusable() {
    UpstreamPaths paths = cutPaths("b", "c", "d", "e", "x");
    for (String node : List.of("b", "c", "d", "e")) {
      assertNotEquals(paths.forwarder(SERVICE, at(30)), "x");
      connect(paths, "up-1", node, ConnectOutcome.FORWARDER_UNUSABLE, 30);
    }
    assertEquals(paths.forwarder(SERVICE, at(40)), "x");
  }

  @Test
  public void forwardersAreUsedInTurn() {
    UpstreamPaths paths = cutPaths("b", "c");
    Set<String> used = new HashSet<>();
    used.add(String.valueOf(paths.forwarder(SERVICE, at(30))));
    used.add(String.valueOf(paths.forwarder(SERVICE, at(30))));
    assertEquals(used, Set.of("b", "c"));
  }

  @Test
  public void ownLinksAreUsedAgainAfterSeveralConnections() {
    UpstreamPaths paths = cutPaths("b");
    assertEquals(paths.takeProbes(at(600)), Map.of(SERVICE, 1));
    assertTrue(paths.takeProbes(at(700)).isEmpty());
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 610);
    assertEquals(paths.state(SERVICE), PathState.FORWARDED);
    connect(paths, "up-2", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 1110);
    connect(paths, "up-3", null, ConnectOutcome.OPENED, 1610);
    assertEquals(paths.state(SERVICE), PathState.FORWARDED);
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 2110);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
    assertNull(paths.forwarder(SERVICE, at(2120)));
  }

  /** Guards against requests that follow links which come and go each second. */
  @Test
  public void linksThatComeAndGoNeedLongerProof() {
    UpstreamPaths paths = cutPaths("b");
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 500);
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 1000);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
    connect(paths, "up-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 1500);
    connect(paths, "up-2", null, ConnectOutcome.UPSTREAM_UNREACHABLE, 1500);
    connect(paths, "up-2", "b", ConnectOutcome.OPENED, 1510);
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 2000);
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 2500);
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 3000);
    assertEquals(paths.state(SERVICE), PathState.FORWARDED);
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 3500);
    assertEquals(paths.state(SERVICE), PathState.DIRECT);
  }

  /** Guards against hanging on connections that a cut has made silent. */
  @Test
  public void silenceOfOpenConnectionsIsProbed() {
    UpstreamPaths paths = pathsWith("b");
    paths.recordAnswer(SERVICE, at(0));
    paths.recordUnanswered(SERVICE, at(100));
    assertEquals(paths.takeProbes(at(700)), Map.of(SERVICE, 2));
    paths.recordAnswer(SERVICE, at(710));
    paths.recordUnanswered(SERVICE, at(700));
    assertTrue(paths.takeProbes(at(1500)).isEmpty());
  }

  /** Guards against an idle service whose first callers wait for links that are known to be cut. */
  @Test
  public void oneFailureSufficesOnceTheLinksToAnotherServiceAreCut() {
    UpstreamPaths paths = cutPaths("b");
    paths.recordConnect(
        "other", "o-1", null, ConnectOutcome.UPSTREAM_UNREACHABLE, UPSTREAMS, at(100));
    assertEquals(paths.state("other"), PathState.SUSPECTED);
  }

  /** Guards against probing at rest, which upstreams would have to serve. */
  @Test
  public void workingLinksAreNotProbed() {
    UpstreamPaths paths = pathsWith("b");
    connect(paths, "up-1", null, ConnectOutcome.OPENED, 0);
    assertTrue(paths.takeProbes(at(60_000)).isEmpty());
  }
}
