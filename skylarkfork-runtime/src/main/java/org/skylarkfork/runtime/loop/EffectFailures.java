package org.skylarkfork.runtime.loop;

import org.skylarkfork.core.effect.Effect;

/** Receives the effects that couldn't be executed, on the reducer's thread. */
public interface EffectFailures {

  /** Does nothing, for effects whose outcome the reducer doesn't wait for. */
  EffectFailures NONE = (effect, failure) -> {};

  /**
   * Gives an effect that has failed its outcome, so that the reducer doesn't wait for one forever.
   *
   * @param effect the effect, of which a part may have been executed
   * @param failure why it failed
   */
  void onFailed(Effect effect, Throwable failure);
}
