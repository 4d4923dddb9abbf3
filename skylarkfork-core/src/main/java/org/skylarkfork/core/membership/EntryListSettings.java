package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * Settings of the list of entries for callers.
 *
 * @param lifetime time for which a caller may use a list
 * @param propagationMargin time until each entry's list reflects a change, including clock
 *     differences and delays
 */
public record EntryListSettings(Duration lifetime, Duration propagationMargin) {

  /** Default settings. */
  public static final EntryListSettings DEFAULT =
      new EntryListSettings(Duration.ofSeconds(10), Duration.ofSeconds(5));
}
