package org.skylarkfork.core.configuration;

import java.util.List;

/**
 * A staged migration of new work from one version of a model to another.
 *
 * @param model name of the model
 * @param from version that is replaced
 * @param to version that is rolled out
 * @param steps the stages in order
 * @param step index of the current stage, or the number of steps once finished
 * @param state state of the roll-out
 */
public record RollOut(
    String model, String from, String to, List<Step> steps, int step, State state) {

  /** Copies the steps. */
  public RollOut {
    steps = List.copyOf(steps);
  }

  /** State of a roll-out. */
  public enum State {
    /** New work is split between the versions as the current step defines. */
    RUNNING,
    /** The split stays as it is, and no further step begins until the roll-out is resumed. */
    PAUSED,
    /** All new work goes to the new version. */
    FINISHED,
    /** All new work goes to the old version again. */
    ABORTED
  }

  /**
   * A stage of a roll-out.
   *
   * @param percent share of new sessions and of requests without a session that go to the new
   *     version, 0 to 100
   * @param teams teams to which the stage applies; empty for all
   * @param zones availability zones of entries to which the stage applies; empty for all
   */
  public record Step(int percent, List<String> teams, List<String> zones) {

    /** Copies the lists. */
    public Step {
      teams = List.copyOf(teams);
      zones = List.copyOf(zones);
    }
  }
}
