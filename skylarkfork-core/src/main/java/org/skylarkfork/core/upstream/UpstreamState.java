package org.skylarkfork.core.upstream;

/** The state of an upstream in the directory. */
public enum UpstreamState {
  /** The upstream's announcements are being received. */
  LIVE,
  /** The upstream's announcements have stopped; it is live again once another one is received. */
  LOST,
  /**
   * The process has ended or another process uses its address; this process never becomes live
   * again.
   */
  GONE
}
