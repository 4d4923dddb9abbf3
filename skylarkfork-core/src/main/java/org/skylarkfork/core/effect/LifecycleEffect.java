package org.skylarkfork.core.effect;

/** What a daemon does with itself. */
public sealed interface LifecycleEffect extends Effect {

  /** Ends the process: nothing runs any more and no caller is still served. */
  record EndProcess() implements LifecycleEffect {}
}
