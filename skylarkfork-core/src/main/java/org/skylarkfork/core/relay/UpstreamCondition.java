package org.skylarkfork.core.relay;

/** What the system believes of an upstream. */
public enum UpstreamCondition {
  /** It announces itself and takes work. */
  READY,
  /** It was not heard for several heartbeats; used only if there is no other. */
  SILENT,
  /** It said that it leaves, or another one has its address; it gets no new work. */
  LEAVING,
  /** Its availability zone is evacuated; it gets no new work until that is taken back. */
  EVACUATED;

  /** Returns whether an upstream gets no new work, even where no other is left. */
  boolean rejectsNewWork() {
    return this == LEAVING || this == EVACUATED;
  }
}
