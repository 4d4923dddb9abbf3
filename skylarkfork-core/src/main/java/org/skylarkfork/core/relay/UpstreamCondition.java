package org.skylarkfork.core.relay;

/** The condition of an upstream as the system sees it. */
public enum UpstreamCondition {
  /** The upstream sends heartbeats and accepts requests. */
  READY,
  /** The upstream has missed several heartbeats; it is used only if no other is available. */
  SILENT,
  /**
   * The upstream announced that it leaves, or another one has its address; it receives no new
   * requests.
   */
  LEAVING,
  /**
   * The upstream's availability zone is evacuated; it receives no new requests until the zone is
   * restored.
   */
  EVACUATED;

  /** Returns whether an upstream receives no new requests even if no other is left. */
  boolean rejectsNewWork() {
    return this == LEAVING || this == EVACUATED;
  }
}
