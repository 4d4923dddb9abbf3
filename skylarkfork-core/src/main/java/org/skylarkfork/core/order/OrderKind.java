package org.skylarkfork.core.order;

import java.util.Locale;

/** Kind of an order to an engine. */
public enum OrderKind {
  /** Load a version, or an adapter for it. */
  LOAD,
  /** Unload a version. */
  UNLOAD,
  /** Change the engine's role. */
  ROLE;

  /** Returns the name of the kind in the protocol of engines. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
