package org.skylarkfork.core.configuration;

import java.util.List;

/**
 * A staged move of new work from one version of a model to another.
 *
 * @param model name of the model
 * @param from version that is replaced
 * @param to version that is rolled out
 * @param steps the stages in order
 * @param step index of the present stage, or the number of steps once finished
 * @param state whether it goes on
 */
public record RollOut(
    String model, String from, String to, List<Step> steps, int step, State state) {

  /** Copies the steps. */
  public RollOut {
    steps = List.copyOf(steps);
  }

  /** Whether a roll-out goes on. */
  public enum State {
    /** New work is shared as the present step says. */
    RUNNING,
    /** The shares stay, and no step follows until it is resumed. */
    PAUSED,
    /** All new work gets the new version. */
    FINISHED,
    /** All new work gets the old version again. */
    ABORTED
  }

  /**
   * One stage.
   *
   * @param percent share of new sessions and session-less requests that get the new version
   * @param teams teams that it applies to; empty for all
   * @param zones availability zones of entries that it applies to; empty for all
   */
  public record Step(int percent, List<String> teams, List<String> zones) {

    /** Copies the lists. */
    public Step {
      teams = List.copyOf(teams);
      zones = List.copyOf(zones);
    }
  }
}
