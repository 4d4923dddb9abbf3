package org.skylarkfork.core.relay;

/**
 * The position of an entry among all entries, as assigned by the leader.
 *
 * <p>It lets entries divide work that fewer than all of them can do, without any coordination: each
 * number from 0 on belongs to one entry.
 *
 * @param number the entry's number, from 0
 * @param of number of entries; 0 if it isn't known yet
 */
public record EntryOrdinal(int number, int of) {

  /** The value before the leader has assigned a number. */
  public static final EntryOrdinal UNKNOWN = new EntryOrdinal(0, 0);

  /** Returns whether the leader has assigned a number. */
  boolean isKnown() {
    return of > 0;
  }
}
