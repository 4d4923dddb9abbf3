package org.skylarkfork.core.upstream;

/** Whether an upstream is there. */
public enum UpstreamState {
  /** It is heard. */
  LIVE,
  /** It fell silent; it counts as there again once it is heard. */
  LOST,
  /** It ended or another process has taken its address; this process never returns. */
  GONE
}
