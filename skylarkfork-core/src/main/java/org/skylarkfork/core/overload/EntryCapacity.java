package org.skylarkfork.core.overload;

/**
 * The capacity of an entry's VM.
 *
 * @param milliCores processor share in thousandths of a core; 0 if unknown
 * @param linkKbits bandwidth of the VM's link in kilobits per second; 0 if unknown
 */
public record EntryCapacity(int milliCores, int linkKbits) {

  /** Capacity of a VM whose settings don't state it. */
  public static final EntryCapacity UNKNOWN = new EntryCapacity(0, 0);
}
