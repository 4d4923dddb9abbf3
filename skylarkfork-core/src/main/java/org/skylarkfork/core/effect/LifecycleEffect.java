package org.skylarkfork.core.effect;

/** Effects on the life cycle of the daemon. */
public sealed interface LifecycleEffect extends Effect {

  /** Ends the process; added when no request is running and no caller is being served. */
  record EndProcess() implements LifecycleEffect {}
}
