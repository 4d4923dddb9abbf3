package org.skylarkfork.daemon.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.daemon.ExampleConfiguration;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.announce.LoadedModel;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.engine.StandInEngine;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.load.LoadKind;
import org.skylarkfork.standin.load.LoadRecord;
import org.skylarkfork.standin.service.ServiceSettings;
import org.skylarkfork.standin.service.StandInService;

/** The engines and services of the proof, two of each kind in different zones. */
final class ProofUpstreams implements AutoCloseable {

  private static final int COPIES = 2;

  private final Map<String, StandInEngine> engines = new HashMap<>();
  private final Map<String, StandInService> services = new HashMap<>();

  ProofUpstreams(List<String> entries) {
    for (int copy = 0; copy < COPIES; copy++) {
      String zone = copy == 0 ? "zone-a" : "zone-b";
      AnnouncerSettings announce = AnnouncerSettings.to(entries);
      for (String model : List.of(ExampleConfiguration.SMALL, ExampleConfiguration.LARGE)) {
        List<LoadedModel> versions =
            List.of(new LoadedModel(model, "1", List.of()), new LoadedModel(model, "2", List.of()));
        String id = "engine-" + model + "-" + copy;
        engines.put(id, new StandInEngine(EngineSettings.of(id, zone, versions, announce)));
      }
      for (String service :
          List.of(ExampleConfiguration.LOOKUP, ExampleConfiguration.CERTIFICATES)) {
        String id = "service-" + service + "-" + copy;
        services.put(id, new StandInService(ServiceSettings.of(id, zone, service, announce)));
      }
    }
  }

  void start() {
    engines.values().forEach(StandInEngine::start);
    services.values().forEach(StandInService::start);
  }

  int count() {
    return engines.size() + services.size();
  }

  /** Returns the ids of the engines, sorted. */
  List<String> engineIds() {
    return engines.keySet().stream().sorted().toList();
  }

  /** Returns the ids of all upstreams, sorted. */
  List<String> ids() {
    List<String> ids = new ArrayList<>(engines.keySet());
    ids.addAll(services.keySet());
    return ids.stream().sorted().toList();
  }

  void fault(String upstream, Fault fault) {
    StandInEngine engine = engines.get(upstream);
    if (engine != null) {
      engine.fault(fault);
    } else {
      services.get(upstream).fault(fault);
    }
  }

  /**
   * Returns how often each request ran, by its key: calls over all services, and drafts over all
   * engines under the id of their last send.
   */
  Map<String, Integer> runs(List<LoadRecord> records) {
    Map<String, Integer> runs = new HashMap<>();
    for (LoadRecord record : records) {
      runs.put(record.key(), runs(record));
    }
    return runs;
  }

  private int runs(LoadRecord record) {
    if (record.kind() != LoadKind.DRAFT) {
      return services.values().stream().mapToInt(one -> one.runsOf(record.key())).sum();
    }
    String id = record.requestId();
    return id == null ? 0 : engines.values().stream().mapToInt(one -> one.runsOf(id)).sum();
  }

  @Override
  public void close() {
    engines.values().forEach(StandInEngine::close);
    services.values().forEach(StandInService::close);
  }
}
