package org.skylarkfork.core.relay;

/** What the system believes of an upstream. */
public enum UpstreamCondition {
  /** It announces itself and takes work. */
  READY,
  /** It was not heard for several heartbeats; used only if there is no other. */
  SILENT,
  /** It said that it leaves, or another one has its address; it gets no new work. */
  LEAVING
}
