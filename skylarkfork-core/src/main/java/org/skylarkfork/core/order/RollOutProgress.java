package org.skylarkfork.core.order;

import org.skylarkfork.core.configuration.RollOut;

/**
 * Progress of the preparation of engines for a roll-out.
 *
 * @param model name of the model
 * @param from version that is replaced
 * @param to version that is rolled out
 * @param preparedSteps number of steps, from the first, for which enough engines announced the new
 *     version; the roll-out may advance to a step whose index is below this number
 * @param isCleared whether the version that is no longer needed is unloaded everywhere
 */
public record RollOutProgress(
    String model, String from, String to, int preparedSteps, boolean isCleared) {

  /** Returns whether this is the progress of the given roll-out. */
  public boolean isOf(RollOut rollOut) {
    return model.equals(rollOut.model()) && from.equals(rollOut.from()) && to.equals(rollOut.to());
  }
}
