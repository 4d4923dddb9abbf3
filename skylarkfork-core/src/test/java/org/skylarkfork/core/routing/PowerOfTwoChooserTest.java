package org.skylarkfork.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.Announcement;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the choice among upstreams under late reports, faults and cached prefixes. */
public class PowerOfTwoChooserTest {

  private static final ModelVersion VERSION = new ModelVersion("ruling", "1");
  private static final Instant NOW = RoutingFakes.NOW;

  private PowerOfTwoChooser chooser;
  private int requests;
  private String sharedPrompt = "";

  /** Makes a chooser that knows nothing. */
  @BeforeMethod
  public void setUp() {
    chooser = new PowerOfTwoChooser("a", ChooserSettings.DEFAULT, 3L);
    sharedPrompt = "";
  }

  /*
   * One engine reports no load, nine report some, and no new report comes for a while. By the least
   * reported load every request of a burst would go to the one engine and wait there; with this
   * entry's own requests counted they spread.
   */
  @Test
  public void burstIsSpreadDespiteOldReports() {
    List<Announcement> engines = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      engines.add(RoutingFakes.engine("e" + i, "a", 8, i == 0 ? 0 : 2, VERSION));
    }
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      counts.merge(dispatch(engines, NOW), 1, Integer::sum);
    }
    assertTrue(counts.values().stream().allMatch(count -> count <= 20), counts.toString());
  }

  /*
   * One engine refuses all drafts at once, the other answers each after a second. If refusals
   * counted as answers, the engine that refuses would look the fastest and draw nearly all drafts.
   */
  @Test
  public void fastRefusingEngineReceivesFewRequests() {
    Announcement refusing = RoutingFakes.engine("e0", "a", 16, 0, VERSION);
    Announcement answering = RoutingFakes.engine("e1", "a", 16, 0, VERSION);
    Map<String, Integer> counts = new HashMap<>();
    for (int second = 0; second < 100; second++) {
      Instant now = NOW.plusSeconds(second);
      CallerRequest request = next();
      String chosen =
          chooser
              .choose(List.of(refusing, answering), request, Set.of(), now)
              .map(Announcement::id)
              .orElseThrow();
      counts.merge(chosen, 1, Integer::sum);
      chooser.dispatched(chosen, request, now);
      boolean refuses = chosen.equals("e0");
      chooser.ended(chosen, request, !refuses, refuses ? now : now.plusSeconds(1));
    }
    assertTrue(counts.getOrDefault("e0", 0) <= 12, counts.toString());
  }

  @Test
  public void requestsAreProportionalToCapacity() {
    Announcement small = RoutingFakes.engine("e0", "a", 4, 0, VERSION);
    Announcement big = RoutingFakes.engine("e1", "a", 16, 0, VERSION);
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 100; i++) {
      counts.merge(dispatch(List.of(small, big), NOW), 1, Integer::sum);
    }
    assertEquals(counts.get("e1"), 80, 6);
  }

  @Test
  public void ownZoneIsPreferredUntilItIsBusier() {
    Announcement near = RoutingFakes.engine("e0", "a", 8, 0, VERSION);
    Announcement far = RoutingFakes.engine("e1", "b", 8, 0, VERSION);
    assertEquals(dispatch(List.of(near, far), NOW), "e0");
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      counts.merge(dispatch(List.of(near, far), NOW), 1, Integer::sum);
    }
    assertTrue(counts.get("e1") >= 12, counts.toString());
  }

  /*
   * An engine fails each request. After a few it gets none; later a single probe at a time goes to
   * it, ever more seldom, until one succeeds. Callers see few failures, and a returning engine is
   * not flooded.
   */
  @Test
  public void failingUpstreamIsEjectedAndProbedBySingleRequests() {
    List<Announcement> engines =
        List.of(
            RoutingFakes.engine("e0", "a", 8, 0, VERSION),
            RoutingFakes.engine("e1", "a", 8, 0, VERSION));
    int failures = 0;
    for (int tenth = 0; tenth < 600; tenth++) {
      Instant now = NOW.plusMillis(tenth * 100L);
      CallerRequest request = next();
      String id = chooser.choose(engines, request, Set.of(), now).orElseThrow().id();
      chooser.dispatched(id, request, now);
      failures += id.equals("e0") ? 1 : 0;
      chooser.ended(id, request, !id.equals("e0"), now.plusMillis(50));
    }
    assertTrue(failures >= 5 && failures <= 9, failures + " failures in a minute");
    Instant later = NOW.plusSeconds(120);
    List<Announcement> failing = engines.subList(0, 1);
    String probe = dispatch(failing, later);
    chooser.ended(probe, lastRequest(), true, later.plusMillis(50));
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      counts.merge(dispatch(engines, later.plusMillis(100)), 1, Integer::sum);
    }
    assertTrue(counts.get("e0") >= 12, counts.toString());
  }

  /*
   * An engine takes requests and falls silent: nothing ends, so no failure tells of it for a long
   * time. The age of what waits there does, and requests go elsewhere.
   */
  @Test
  public void silentUpstreamReceivesNoNewRequestsBeforeAnyFailure() {
    List<Announcement> engines =
        List.of(
            RoutingFakes.engine("e0", "a", 8, 0, VERSION),
            RoutingFakes.engine("e1", "a", 8, 0, VERSION));
    int silent = 0;
    for (int tenth = 0; tenth < 300; tenth++) {
      Instant now = NOW.plusMillis(tenth * 100L);
      CallerRequest request = next();
      String id = chooser.choose(engines, request, Set.of(), now).orElseThrow().id();
      chooser.dispatched(id, request, now);
      if (id.equals("e0")) {
        silent++;
      } else {
        chooser.ended(id, request, true, now.plusMillis(90));
      }
    }
    assertTrue(silent <= 10, silent + " of 300 went to the silent engine");
  }

  @Test
  public void ejectedUpstreamIsUsedIfNoneIsLeftUnlessExcluded() {
    List<Announcement> engines = List.of(RoutingFakes.engine("e0", "a", 8, 0, VERSION));
    for (int i = 0; i < 5; i++) {
      dispatch(engines, NOW);
      chooser.ended("e0", lastRequest(), false, NOW);
    }
    assertTrue(chooser.choose(engines, next(), Set.of(), NOW).isPresent());
    assertTrue(chooser.choose(engines, next(), Set.of("e0"), NOW).isEmpty());
    assertTrue(chooser.choose(List.of(), next(), Set.of(), NOW).isEmpty());
  }

  @Test
  public void cachedPrefixIsPreferredWhileLoadIsLow() {
    List<Announcement> engines = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      engines.add(RoutingFakes.engine("e" + (char) ('a' + i), "a", 8, 0, VERSION));
    }
    sharedPrompt = "rules of the race ".repeat(8);
    String first = dispatch(engines, NOW);
    int same = 0;
    for (int i = 0; i < 40; i++) {
      same += dispatch(engines, NOW).equals(first) ? 1 : 0;
    }
    assertTrue(same >= 2 && same <= 8, same + " of 40 followed the prefix");
  }

  private String dispatch(List<Announcement> engines, Instant now) {
    CallerRequest request = next();
    String id = chooser.choose(engines, request, Set.of(), now).orElseThrow().id();
    chooser.dispatched(id, request, now);
    return id;
  }

  private CallerRequest next() {
    requests++;
    return lastRequest();
  }

  /** Returns the newest request again. */
  private CallerRequest lastRequest() {
    CallerRequest request = RoutingFakes.request("r" + requests, "ruling", null);
    return new CallerRequest(
        request.requestId(),
        request.keyHash(),
        request.kind(),
        request.model(),
        request.service(),
        request.method(),
        request.path(),
        request.headers(),
        sharedPrompt + request.requestId(),
        request.body(),
        request.promptTokens(),
        request.maxTokens(),
        request.stream(),
        request.priority(),
        request.session(),
        request.sessionToken(),
        request.idempotencyKey(),
        request.deadline(),
        request.qualityTarget());
  }
}
