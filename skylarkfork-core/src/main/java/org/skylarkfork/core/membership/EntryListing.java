package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.List;

/** Which entries callers are to use, and whether this one takes their work. */
public interface EntryListing {

  /** Returns the list for callers. */
  EntryPage entries(Instant now);

  /**
   * Returns whether this daemon takes new work.
   *
   * <p>An entry that is stopping or drained takes it until the last list that named it has expired.
   */
  boolean acceptsNewWork(Instant now);

  /**
   * A list of entries as a caller gets it.
   *
   * @param entries the entries, by name
   * @param lifetimeMillis how long the caller may use it, in milliseconds
   */
  record EntryPage(List<Entry> entries, long lifetimeMillis) {

    /** Copies the entries. */
    public EntryPage {
      entries = List.copyOf(entries);
    }
  }

  /**
   * An entry for callers.
   *
   * @param name node name
   * @param host IP number
   * @param port port for callers
   * @param zone availability zone
   * @param region region of the zone
   * @param weight its share of callers against the others
   */
  record Entry(String name, String host, int port, String zone, String region, int weight) {}
}
