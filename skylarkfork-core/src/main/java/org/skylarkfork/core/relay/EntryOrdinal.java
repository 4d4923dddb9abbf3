package org.skylarkfork.core.relay;

/**
 * Which one of all entries an entry is, as the leader counts them.
 *
 * <p>With it, entries divide among themselves what less than all of them can do, without a word
 * between them: each number from 0 is one entry's.
 *
 * @param number its number, from 0
 * @param of how many entries there are; 0 if that isn't known yet
 */
public record EntryOrdinal(int number, int of) {

  /** Before the leader has told. */
  public static final EntryOrdinal UNKNOWN = new EntryOrdinal(0, 0);

  /** Returns whether the leader has told. */
  boolean isKnown() {
    return of > 0;
  }
}
