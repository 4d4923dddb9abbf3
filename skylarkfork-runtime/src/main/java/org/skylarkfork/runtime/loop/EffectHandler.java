package org.skylarkfork.runtime.loop;

import org.skylarkfork.core.effect.Effect;

/** Executes effects; called on the reducer's thread, so it must not block. */
public interface EffectHandler {

  /** Starts to execute an effect. */
  void execute(Effect effect);
}
