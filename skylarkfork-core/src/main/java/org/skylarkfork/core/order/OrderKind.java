package org.skylarkfork.core.order;

import java.util.Locale;

/** What an engine is ordered to do. */
public enum OrderKind {
  /** Load a version, or an adapter for it. */
  LOAD,
  /** Unload a version. */
  UNLOAD,
  /** Change the engine's role. */
  ROLE;

  /** Returns the form that engines take. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
