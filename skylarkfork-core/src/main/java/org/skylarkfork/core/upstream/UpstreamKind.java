package org.skylarkfork.core.upstream;

/** What an upstream is. */
public enum UpstreamKind {
  /** Runs models. */
  ENGINE,
  /** Answers plain calls of one service. */
  SERVICE
}
