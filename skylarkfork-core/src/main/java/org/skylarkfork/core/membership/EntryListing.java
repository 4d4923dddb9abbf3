package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.List;

/** Lists the entries for callers, and reports whether this daemon accepts new work. */
public interface EntryListing {

  /** Returns the list of entries for callers. */
  EntryPage entries(Instant now);

  /**
   * Returns whether this daemon accepts new work.
   *
   * <p>An entry that is stopping or drained accepts new work until the last list with its name has
   * expired.
   */
  boolean acceptsNewWork(Instant now);

  /**
   * A list of entries for a caller.
   *
   * @param entries the entries, by name
   * @param lifetimeMillis time for which the caller may use the list, in milliseconds
   */
  record EntryPage(List<Entry> entries, long lifetimeMillis) {

    /** Copies the entries. */
    public EntryPage {
      entries = List.copyOf(entries);
    }
  }

  /**
   * An entry as listed for callers.
   *
   * @param name node name
   * @param host IP address
   * @param port port for callers
   * @param zone availability zone
   * @param region region of the zone
   * @param weight its share of callers relative to the other entries
   */
  record Entry(String name, String host, int port, String zone, String region, int weight) {}
}
