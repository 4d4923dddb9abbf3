package org.skylarkfork.core.upstream;

/** The kind of an upstream. */
public enum UpstreamKind {
  /** An engine, which runs models. */
  ENGINE,
  /** A plain service, which answers calls of one service. */
  SERVICE
}
