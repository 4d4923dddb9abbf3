package org.skylarkfork.core.entrylist;

/**
 * An entry that lists for callers may name.
 *
 * @param address address at which callers connect to it
 * @param zone its availability zone
 * @param weight its capacity in thousandths of the largest entry's capacity, at least 1
 */
public record NamedEntry(String address, String zone, int weight) {

  /** Weight of the largest entry. */
  public static final int MAX_WEIGHT = 1000;
}
