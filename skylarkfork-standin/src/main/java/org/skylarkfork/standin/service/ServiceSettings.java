package org.skylarkfork.standin.service;

import java.time.Duration;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.settings.SettingsReader;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * The settings of a stand-in plain service.
 *
 * @param id the name of the upstream
 * @param host the IP number to listen on; 127.0.0.1 if absent
 * @param port the port, or 0 for a free one
 * @param zone the availability zone
 * @param service the name of the service
 * @param latency the time that a call takes; 2 ms if absent
 * @param capacity the calls answered at the same time; 64 if absent
 * @param seed decides which calls a partial fault strikes
 * @param crashOn text that ends the service for good as it runs a call whose body holds it; nothing
 *     does if absent
 * @param rateLimit requests a second that it names in its answers as its limit, which it doesn't
 *     enforce; none if absent
 * @param announce where it announces itself; nowhere if absent
 */
public record ServiceSettings(
    String id,
    String host,
    @ZeroIfAbsent int port,
    String zone,
    String service,
    Duration latency,
    @ZeroIfAbsent int capacity,
    @ZeroIfAbsent long seed,
    @Nullable String crashOn,
    @Nullable Double rateLimit,
    AnnouncerSettings announce) {

  private static final String LOOPBACK = "127.0.0.1";
  private static final Duration DEFAULT_LATENCY = Duration.ofMillis(2);
  private static final int DEFAULT_CAPACITY = 64;

  /** Puts defaults in place of absent values. */
  public ServiceSettings {
    Objects.requireNonNull(id, "Give the service an id.");
    Objects.requireNonNull(zone, "Give the service an availability zone.");
    Objects.requireNonNull(service, "Give the service a name.");
    host = Objects.requireNonNullElse(host, LOOPBACK);
    latency = Objects.requireNonNullElse(latency, DEFAULT_LATENCY);
    capacity = capacity <= 0 ? DEFAULT_CAPACITY : capacity;
    announce = Objects.requireNonNullElse(announce, AnnouncerSettings.none());
  }

  /**
   * Makes settings with defaults for all that is not named.
   *
   * @param id the name of the upstream
   * @param zone the availability zone
   * @param service the name of the service
   * @param announce where it announces itself
   * @return settings with a free port on loopback
   */
  public static ServiceSettings of(
      String id, String zone, String service, AnnouncerSettings announce) {
    return new ServiceSettings(
        id, LOOPBACK, 0, zone, service, DEFAULT_LATENCY, DEFAULT_CAPACITY, 0, null, null, announce);
  }

  /**
   * Gives a reader of these settings.
   *
   * @return a reader of YAML that checks its schema
   */
  public static SettingsReader<ServiceSettings> reader() {
    return new SettingsReader<>(ServiceSettings.class, "service.schema.json");
  }
}
