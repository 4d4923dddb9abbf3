package org.skylarkfork.standin.announce;

import java.time.Duration;
import java.util.List;

/**
 * Says where and how often an upstream announces itself.
 *
 * @param entries the addresses of entries, as IP number and port; nothing is announced without any
 * @param interval the time between heartbeats until an entry asks for another; 1 second if absent
 * @param timeout the time after which the next entry is tried; 2 seconds if absent
 */
public record AnnouncerSettings(List<String> entries, Duration interval, Duration timeout) {

  private static final Duration DEFAULT_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);

  /** Puts defaults in place of absent values. */
  public AnnouncerSettings {
    entries = entries == null ? List.of() : List.copyOf(entries);
    interval = interval == null ? DEFAULT_INTERVAL : interval;
    timeout = timeout == null ? DEFAULT_TIMEOUT : timeout;
  }

  /**
   * Announces to some entries at the usual pace.
   *
   * @param entries the addresses of entries, as IP number and port
   * @return the settings
   */
  public static AnnouncerSettings to(List<String> entries) {
    return new AnnouncerSettings(entries, DEFAULT_INTERVAL, DEFAULT_TIMEOUT);
  }

  /**
   * Announces nothing.
   *
   * @return the settings
   */
  public static AnnouncerSettings none() {
    return to(List.of());
  }
}
