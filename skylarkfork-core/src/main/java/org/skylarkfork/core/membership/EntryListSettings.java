package org.skylarkfork.core.membership;

import java.time.Duration;

/**
 * How long callers keep the list of entries.
 *
 * @param lifetime how long a caller may use a list
 * @param propagationMargin time until each entry's list shows a change, and for clocks and delays
 */
public record EntryListSettings(Duration lifetime, Duration propagationMargin) {

  /** Settings for everyday use. */
  public static final EntryListSettings DEFAULT =
      new EntryListSettings(Duration.ofSeconds(10), Duration.ofSeconds(5));
}
