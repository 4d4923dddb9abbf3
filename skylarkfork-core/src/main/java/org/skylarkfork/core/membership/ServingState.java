package org.skylarkfork.core.membership;

/** Whether a daemon takes new work of callers, as it says itself. */
public enum ServingState {
  /** It takes new work. */
  SERVING,
  /** It holds no configuration lease, and refuses new work until it does. */
  NOT_SERVING,
  /** It is stopping; it is on no entry list, and callers with an old list are still served. */
  LEAVING
}
