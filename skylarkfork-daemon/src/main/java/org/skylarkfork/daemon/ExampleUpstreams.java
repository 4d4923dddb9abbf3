package org.skylarkfork.daemon;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.announce.LoadedModel;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.engine.StandInEngine;
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

  @Override
  public void close() {
    engines.forEach(StandInEngine::close);
    services.forEach(StandInService::close);
  }
}
