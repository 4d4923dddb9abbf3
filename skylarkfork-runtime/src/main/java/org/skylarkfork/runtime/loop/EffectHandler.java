package org.skylarkfork.runtime.loop;

import org.skylarkfork.core.effect.Effect;

/** Carries effects out; called on the reducer's thread, so it must not block. */
public interface EffectHandler {

  /** Starts to carry an effect out. */
  void execute(Effect effect);
}
