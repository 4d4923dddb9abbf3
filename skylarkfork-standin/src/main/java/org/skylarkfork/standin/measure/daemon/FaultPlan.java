package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.standin.measure.VirtualTime;

/** Switches the faults of a run on and off at their times. */
final class FaultPlan {

  private static final long MICROS = 1_000_000;
  private static final double SLOWNESS = 5;
  private static final int LEAVING_SECONDS = 20;
  private static final int[] ROLL_OUT_PERCENT = {10, 50, 100};
  private static final int ROLL_OUT_SECONDS = 40;
  private static final int HALF = 50;

  private final Set<FaultKind> faults;
  private final VirtualTime time;
  private final FakeConfiguration configuration;
  private final Consumer<Event> daemon;
  private final List<FakeEngine> engines;
  private final List<FakeService> services;
  private final FakeRating rating;

  FaultPlan(
      Set<FaultKind> faults,
      VirtualTime time,
      FakeConfiguration configuration,
      Consumer<Event> daemon,
      Map<String, FakeEngine> engines,
      Map<String, FakeService> services,
      FakeRating rating) {
    this.faults = faults;
    this.time = time;
    this.configuration = configuration;
    this.daemon = daemon;
    this.engines = new ArrayList<>(engines.values());
    this.services = new ArrayList<>(services.values());
    this.rating = rating;
  }

  /** Plans all; to be called at the run's begin. */
  void plan() {
    faults.stream().sorted().forEach(this::plan);
  }

  private void plan(FaultKind fault) {
    switch (fault) {
      case ENGINE_SILENT -> during(on -> engines.get(1).faults().silent = on);
      case SERVICE_SILENT -> during(on -> lookup(1).faults().silent = on);
      case CUT_STREAMS ->
          during(
              on -> {
                engines.forEach(engine -> engine.faults().cutting = on);
                services.forEach(service -> service.faults().cutting = on);
              });
      case CROSSED_ANSWERS ->
          during(
              on -> {
                engines.forEach(engine -> engine.faults().crossing = on);
                services.forEach(service -> service.faults().crossing = on);
              });
      case POOL_FULL -> during(this::refuse);
      case SLOW_UPSTREAM -> during(on -> slowDown(on ? SLOWNESS : 1));
      case UPSTREAM_LEAVING -> leave();
      case RATING_MISSING -> during(rating::missing);
      case ROLL_OUT -> rollOutInSteps();
      case WITHDRAWAL ->
          at(
              Deployment.FAULT_BEGIN,
              () -> daemon.accept(configuration.withdraw(Deployment.SMALL_OLD)));
      // A bad version is only rolled out here; from when it is bad is in the truth of answers.
      default -> at(Deployment.HALF_BEGIN, () -> rollOut(HALF));
    }
  }

  private void at(int second, Runnable action) {
    time.after(second * MICROS, action);
  }

  private void during(Consumer<Boolean> change) {
    at(Deployment.FAULT_BEGIN, () -> change.accept(true));
    at(Deployment.FAULT_END, () -> change.accept(false));
  }

  private FakeService lookup(int number) {
    return services.stream()
        .filter(service -> service.id().equals(Deployment.LOOKUP + "0" + number))
        .findFirst()
        .orElseThrow();
  }

  private void refuse(boolean on) {
    for (int i = 0; i < engines.size(); i += 2) {
      engines.get(i).faults().refusing = on;
    }
  }

  private void slowDown(double factor) {
    engines.get(1).faults().slowness = factor;
    lookup(0).faults().slowness = factor;
  }

  private void leave() {
    for (FakeUpstream upstream : List.of(engines.get(1), lookup(0))) {
      at(
          Deployment.FAULT_BEGIN,
          () -> {
            upstream.faults().leaving = true;
            daemon.accept(new UpstreamEvent.Announced(upstream.announcement()));
          });
      at(
          Deployment.FAULT_BEGIN + LEAVING_SECONDS,
          () -> {
            upstream.faults().gone = true;
            daemon.accept(new UpstreamEvent.Announced(upstream.announcement()));
          });
    }
  }

  private void rollOut(int percent) {
    daemon.accept(configuration.rollOuts(List.of(MeasuredConfiguration.rollOut(percent))));
  }

  private void rollOutInSteps() {
    int second = Deployment.FAULT_BEGIN;
    for (int percent : ROLL_OUT_PERCENT) {
      at(second, () -> rollOut(percent));
      second += ROLL_OUT_SECONDS;
    }
  }
}
