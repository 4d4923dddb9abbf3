package org.skylarkfork.core.order;

import org.skylarkfork.core.configuration.RollOut;

/**
 * How far the engines are prepared for a roll-out.
 *
 * @param model name of the model
 * @param from version that is replaced
 * @param to version that is rolled out
 * @param preparedSteps steps for which enough engines announced the new version, counted from the
 *     first; the roll-out may be advanced to a step below this number
 * @param isCleared whether the version that is no longer needed is unloaded everywhere
 */
public record RollOutProgress(
    String model, String from, String to, int preparedSteps, boolean isCleared) {

  /** Returns whether this is about the given roll-out. */
  public boolean isOf(RollOut rollOut) {
    return model.equals(rollOut.model()) && from.equals(rollOut.from()) && to.equals(rollOut.to());
  }
}
