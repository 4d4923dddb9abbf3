package org.skylarkfork.core.membership;

/** Whether a daemon accepts new work from callers, as reported by the daemon itself. */
public enum ServingState {
  /** It accepts new work. */
  SERVING,
  /** It holds no configuration lease and refuses new work until it does. */
  NOT_SERVING,
  /**
   * It is stopping: entry lists no longer name it, and it still serves callers with an old list.
   */
  LEAVING
}
