package org.skylarkfork.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.announce.LoadedModel;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.engine.StandInEngine;
import org.skylarkfork.standin.rating.RatingSettings;
import org.skylarkfork.standin.service.ServiceSettings;
import org.skylarkfork.standin.service.StandInService;

/** The stand-in upstreams of quickstart, in the same process. */
final class ExampleUpstreams implements AutoCloseable {

  private final List<StandInEngine> engines = new ArrayList<>();
  private final List<StandInService> services = new ArrayList<>();

  /**
   * Starts an engine for each model and version and two plain services.
   *
   * @param zone availability zone of all of them
   * @param entry IP number and port of the entry that they announce themselves to
   */
  ExampleUpstreams(String zone, String entry) {
    AnnouncerSettings announce = AnnouncerSettings.to(List.of(entry));
    for (String model : List.of(ExampleConfiguration.SMALL, ExampleConfiguration.LARGE)) {
      for (String version : List.of("1", "2")) {
        LoadedModel loaded = new LoadedModel(model, version, List.of());
        EngineSettings settings =
            EngineSettings.of("engine-" + model + "-" + version, zone, List.of(loaded), announce);
        engines.add(new StandInEngine(settings));
      }
    }
    for (String service : List.of(ExampleConfiguration.LOOKUP, ExampleConfiguration.CERTIFICATES)) {
      services.add(
          new StandInService(ServiceSettings.of("service-" + service, zone, service, announce)));
    }
    engines.forEach(StandInEngine::start);
    services.forEach(StandInService::start);
  }

  /** Returns settings of a rating service that knows the engines' qualities. */
  static RatingSettings ratings() {
    return RatingSettings.of(
        Map.of(
            ExampleConfiguration.SMALL + ":1", 0.6,
            ExampleConfiguration.SMALL + ":2", 0.7,
            ExampleConfiguration.LARGE + ":1", 0.9,
            ExampleConfiguration.LARGE + ":2", 0.95));
  }

  /** Returns the IP number and port of the service for lookups. */
  String lookupAddress() {
    return services.get(0).address();
  }

  /** Returns how many upstreams there are. */
  int count() {
    return engines.size() + services.size();
  }

  @Override
  public void close() {
    engines.forEach(StandInEngine::close);
    services.forEach(StandInService::close);
  }
}
