package org.skylarkfork.standin.engine;

import java.util.List;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.settings.SettingsReader;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.announce.EngineRole;
import org.skylarkfork.standin.announce.LoadedModel;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * The settings of a stand-in engine.
 *
 * @param id the name of the upstream
 * @param host the IP number to listen on; 127.0.0.1 if absent
 * @param port the port, or 0 for a free one
 * @param zone the availability zone
 * @param models the versions loaded at the start
 * @param role the part of the work it takes; mixed if absent
 * @param speed how fast it works
 * @param limits how much it holds
 * @param reports how late it reports
 * @param checksFencing whether it refuses orders with an old fencing number
 * @param weightStore the IP number and port of a weight store; loading is simulated if null
 * @param seed decides which requests and reports a partial fault strikes
 * @param announce where it announces itself; nowhere if absent
 */
public record EngineSettings(
    String id,
    String host,
    @ZeroIfAbsent int port,
    String zone,
    List<LoadedModel> models,
    EngineRole role,
    EngineSpeed speed,
    EngineLimits limits,
    EngineReports reports,
    @ZeroIfAbsent boolean checksFencing,
    @Nullable String weightStore,
    @ZeroIfAbsent long seed,
    AnnouncerSettings announce) {

  private static final String LOOPBACK = "127.0.0.1";

  /** Puts defaults in place of absent values. */
  public EngineSettings {
    Objects.requireNonNull(id, "Give the engine an id.");
    Objects.requireNonNull(zone, "Give the engine an availability zone.");
    host = Objects.requireNonNullElse(host, LOOPBACK);
    models = models == null ? List.of() : List.copyOf(models);
    role = Objects.requireNonNullElse(role, EngineRole.MIXED);
    speed = Objects.requireNonNullElse(speed, EngineSpeed.DEFAULT);
    limits = Objects.requireNonNullElse(limits, EngineLimits.DEFAULT);
    reports = Objects.requireNonNullElse(reports, EngineReports.DEFAULT);
    announce = Objects.requireNonNullElse(announce, AnnouncerSettings.none());
  }

  /**
   * Makes settings with defaults for all that is not named.
   *
   * @param id the name of the upstream
   * @param zone the availability zone
   * @param models the versions loaded at the start
   * @param announce where it announces itself
   * @return settings with a free port on loopback
   */
  public static EngineSettings of(
      String id, String zone, List<LoadedModel> models, AnnouncerSettings announce) {
    return new EngineSettings(
        id,
        LOOPBACK,
        0,
        zone,
        models,
        EngineRole.MIXED,
        EngineSpeed.DEFAULT,
        EngineLimits.DEFAULT,
        EngineReports.DEFAULT,
        true,
        null,
        0,
        announce);
  }

  /**
   * Gives these settings with another speed.
   *
   * @param newSpeed how fast the engine works
   * @return a copy
   */
  public EngineSettings withSpeed(EngineSpeed newSpeed) {
    return copy(newSpeed, limits, reports, checksFencing, weightStore);
  }

  /**
   * Gives these settings with other limits.
   *
   * @param newLimits how much the engine holds
   * @return a copy
   */
  public EngineSettings withLimits(EngineLimits newLimits) {
    return copy(speed, newLimits, reports, checksFencing, weightStore);
  }

  /**
   * Gives these settings with other reports.
   *
   * @param newReports how late the engine reports
   * @return a copy
   */
  public EngineSettings withReports(EngineReports newReports) {
    return copy(speed, limits, newReports, checksFencing, weightStore);
  }

  /**
   * Gives these settings with or without the check of fencing numbers.
   *
   * @param checks whether the engine refuses orders with an old fencing number
   * @return a copy
   */
  public EngineSettings withChecksFencing(boolean checks) {
    return copy(speed, limits, reports, checks, weightStore);
  }

  /**
   * Gives these settings with a weight store.
   *
   * @param address the IP number and port of the weight store
   * @return a copy
   */
  public EngineSettings withWeightStore(String address) {
    return copy(speed, limits, reports, checksFencing, address);
  }

  private EngineSettings copy(
      EngineSpeed newSpeed,
      EngineLimits newLimits,
      EngineReports newReports,
      boolean checks,
      @Nullable String store) {
    return new EngineSettings(
        id,
        host,
        port,
        zone,
        models,
        role,
        newSpeed,
        newLimits,
        newReports,
        checks,
        store,
        seed,
        announce);
  }

  /**
   * Gives a reader of these settings.
   *
   * @return a reader of YAML that checks its schema
   */
  public static SettingsReader<EngineSettings> reader() {
    return new SettingsReader<>(EngineSettings.class, "engine.schema.json");
  }
}
