package org.skylarkfork.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.request.CallerRequest;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which version of a model requests and sessions get. */
public class VersionChooserTest {

  private static final ModelVersion OLD = new ModelVersion("ruling", "1");
  private static final ModelVersion NEW = new ModelVersion("ruling", "2");
  private static final Team CLUB =
      RoutingFakes.team("club", new Team.AllowedModel("ruling", List.of()));

  private RoutingFakes.FakeConfiguration configuration;
  private RoutingFakes.FakeDirectory directory;
  private RoutingFakes.FakeQuality quality;
  private RoutingFakes.FakePins pins;
  private VersionChooser versions;

  /** Makes a model with two versions, the first of which is current. */
  @BeforeMethod
  public void setUp() {
    configuration = new RoutingFakes.FakeConfiguration();
    configuration.models = List.of(RoutingFakes.model("ruling", "1", 10, 0.8, "1", "2"));
    directory = new RoutingFakes.FakeDirectory();
    quality = new RoutingFakes.FakeQuality();
    pins = new RoutingFakes.FakePins();
    versions = new VersionChooser(configuration, directory, quality, pins, "utrecht-a");
  }

  @Test
  public void rollOutShareNeverDecreasesForTeamOfEarlierStep() {
    RollOut.Step own = new RollOut.Step(60, List.of("club"), List.of());
    RollOut.Step elsewhere = new RollOut.Step(100, List.of(), List.of("amersfoort"));
    RollOut.Step all = new RollOut.Step(20, List.of(), List.of());
    List<RollOut.Step> steps = List.of(own, elsewhere, all);
    Team other = RoutingFakes.team("other", new Team.AllowedModel("ruling", List.of()));
    int[][] expected = {{60, 0}, {60, 0}, {60, 20}, {100, 100}};
    for (int step = 0; step < expected.length; step++) {
      configuration.rollOuts = List.of(rollOut(RollOut.State.RUNNING, step, steps));
      assertEquals(newShare(CLUB), expected[step][0], 3, "step " + step);
      assertEquals(newShare(other), expected[step][1], 3, "step " + step);
    }
    configuration.rollOuts = List.of(rollOut(RollOut.State.ABORTED, 2, steps));
    assertEquals(newShare(CLUB), 0, 0);
    configuration.rollOuts = List.of(rollOut(RollOut.State.FINISHED, 0, steps));
    assertEquals(newShare(CLUB), 100, 0);
  }

  /*
   * A caller drafts in one session while a roll-out goes from 10% to 100% and the new version
   * becomes current. If the version were hashed anew against each share, the session would flip
   * at some step and its user would see another version's answers half-way through a case.
   */
  @Test
  public void sessionsKeepTheirVersionThroughoutRollOut() {
    List<RollOut.Step> steps = List.of(all(10), all(40), all(100));
    for (int session = 0; session < 200; session++) {
      String name = "s" + session;
      configuration.rollOuts = List.of(rollOut(RollOut.State.RUNNING, 0, steps));
      ModelVersion first = choose(name).get().version();
      pins.pin("club", name, first, RoutingFakes.NOW);
      for (int step = 0; step <= 3; step++) {
        configuration.rollOuts = List.of(rollOut(RollOut.State.RUNNING, step, steps));
        VersionChoice choice = choose(name).get();
        assertEquals(choice.version(), first);
        assertTrue(choice.pinned());
        assertNull(choice.notice());
      }
      quality.suspects.add(first);
      assertEquals(choose(name).get().version(), first, "a suspicion moves no session");
      quality.suspects.clear();
    }
  }

  /*
   * A session is pinned to a version that is then withdrawn, or struck from the team's list. Its
   * next request must not run on it; it runs on another version and the caller is told.
   */
  @Test
  public void withdrawalAndAllowedListOverridePin() {
    pins.pin("club", "s", NEW, RoutingFakes.NOW);
    configuration.withdrawn = List.of(NEW);
    VersionChoice moved = choose("s").get();
    assertEquals(moved.version(), OLD);
    assertNotNull(moved.notice());
    configuration.withdrawn = List.of();
    Team narrowed = RoutingFakes.team("club", new Team.AllowedModel("ruling", List.of("1")));
    moved = versions.choose(request("r", "s"), narrowed, "ruling", true, RoutingFakes.NOW).get();
    assertEquals(moved.version(), OLD);
    assertNotNull(moved.notice());
  }

  @Test
  public void pinnedSessionWithoutAnEngineIsNotMoved() {
    pins.pin("club", "s", NEW, RoutingFakes.NOW);
    directory.without.add(NEW);
    assertTrue(choose("s").isEmpty());
  }

  @Test
  public void suspectVersionIsChosenOnlyIfNoOtherIsLeft() {
    configuration.rollOuts = List.of(rollOut(RollOut.State.RUNNING, 0, List.of(all(100))));
    assertEquals(choose("s").get().version(), NEW);
    quality.suspects.add(NEW);
    assertEquals(choose("s").get().version(), OLD);
    configuration.withdrawn = List.of(OLD);
    assertTrue(choose("s").isEmpty());
    CallerRequest request = request("r", "s");
    assertEquals(
        versions.choose(request, CLUB, "ruling", true, RoutingFakes.NOW).get().version(), NEW);
    configuration.withdrawn = List.of(OLD, NEW);
    assertFalse(versions.choose(request, CLUB, "ruling", true, RoutingFakes.NOW).isPresent());
  }

  @Test
  public void versionOutsideRollOutIsNotChosen() {
    directory.without.add(OLD);
    assertTrue(choose("s").isEmpty());
  }

  private int newShare(Team team) {
    int share = 0;
    for (int i = 0; i < 10_000; i++) {
      CallerRequest request = request("r" + i, i % 2 == 0 ? null : "s" + i);
      ModelVersion version =
          versions.choose(request, team, "ruling", false, RoutingFakes.NOW).get().version();
      share += version.equals(NEW) ? 1 : 0;
    }
    return share / 100;
  }

  private Optional<VersionChoice> choose(String session) {
    return versions.choose(request("r", session), CLUB, "ruling", false, RoutingFakes.NOW);
  }

  private static CallerRequest request(String id, String session) {
    return RoutingFakes.request(id, "auto", session);
  }

  private static RollOut.Step all(int percent) {
    return new RollOut.Step(percent, List.of(), List.of());
  }

  private static RollOut rollOut(RollOut.State state, int step, List<RollOut.Step> steps) {
    return new RollOut("ruling", "1", "2", steps, step, state);
  }
}
