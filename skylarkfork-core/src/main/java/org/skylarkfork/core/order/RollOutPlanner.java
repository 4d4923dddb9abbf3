package org.skylarkfork.core.order;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.RollOut.State;
import org.skylarkfork.core.upstream.Announcement;

/**
 * Decides what a roll-out needs next, from what is agreed on and what engines announce alone, so
 * that any holder goes on where another was interrupted.
 */
final class RollOutPlanner {

  private static final int WHOLE = 100;

  private final OrderSettings settings;

  RollOutPlanner(OrderSettings settings) {
    this.settings = settings;
  }

  /**
   * What a roll-out needs next.
   *
   * @param orders what engines are to do
   * @param progress how far it has got
   */
  record RequiredWork(List<PlannedOrder> orders, RollOutProgress progress) {}

  /** Something to order, which has no id yet. */
  record PlannedOrder(OrderKind kind, String upstream, ModelVersion version) {}

  /** Returns whether a roll-out has anything left to do. */
  static boolean isOver(RollOut rollOut, Optional<RollOutProgress> progress) {
    return rollOut.state() == State.PAUSED
        || (isEnded(rollOut)
            && progress.filter(one -> one.isOf(rollOut)).isPresent()
            && progress.get().isCleared());
  }

  private static boolean isEnded(RollOut rollOut) {
    return rollOut.state() == State.FINISHED || rollOut.state() == State.ABORTED;
  }

  /**
   * Decides what a roll-out needs.
   *
   * @param rollOut a roll-out that is not over
   * @param known progress of the model's newest roll-out
   * @param configuration the configuration in force
   * @param view the engines
   * @param mayUnload whether sessions had their time on the version that is no longer needed
   */
  RequiredWork plan(
      RollOut rollOut,
      Optional<RollOutProgress> known,
      Configuration configuration,
      EngineView view,
      boolean mayUnload) {
    ModelVersion from = new ModelVersion(rollOut.model(), rollOut.from());
    ModelVersion to = new ModelVersion(rollOut.model(), rollOut.to());
    RollOutProgress progress =
        known
            .filter(one -> one.isOf(rollOut) && !(one.isCleared() && !isEnded(rollOut)))
            .orElse(new RollOutProgress(rollOut.model(), from.version(), to.version(), 0, false));
    return switch (rollOut.state()) {
      case RUNNING -> prepare(rollOut, progress, view, from, to);
      case FINISHED -> clear(progress, configuration, view, to, from, mayUnload);
      case ABORTED -> clear(progress, configuration, view, from, to, mayUnload);
      case PAUSED -> new RequiredWork(List.of(), progress);
    };
  }

  private RequiredWork prepare(
      RollOut rollOut,
      RollOutProgress progress,
      EngineView view,
      ModelVersion from,
      ModelVersion to) {
    List<Announcement> hosts = view.withEither(from, to);
    int loaded = view.with(to).size();
    int prepared = progress.preparedSteps();
    while (prepared < rollOut.steps().size()
        && !hosts.isEmpty()
        && loaded >= engines(rollOut.steps().get(prepared).percent(), hosts.size())) {
      prepared++;
    }
    // One step ahead of the work, so that an advance finds the engines ready; not further, since an
    // aborted roll-out should have cost little.
    int aim = Math.min(rollOut.step() + 1, rollOut.steps().size() - 1);
    int wanted = engines(rollOut.steps().get(aim).percent(), hosts.size());
    RollOutProgress next =
        new RollOutProgress(
            progress.model(), progress.from(), progress.to(), prepared, progress.isCleared());
    return new RequiredWork(loads(view, hosts, to, wanted - loaded), next);
  }

  private int engines(int percent, int hosts) {
    int share = (hosts * percent + WHOLE - 1) / WHOLE;
    return Math.min(hosts, Math.max(settings.minEngines(), share));
  }

  private static List<PlannedOrder> loads(
      EngineView view, List<Announcement> hosts, ModelVersion version, int most) {
    return view.without(version, hosts).stream()
        .limit(Math.max(0, most))
        .map(engine -> new PlannedOrder(OrderKind.LOAD, engine.id(), version))
        .toList();
  }

  private RequiredWork clear(
      RollOutProgress progress,
      Configuration configuration,
      EngineView view,
      ModelVersion kept,
      ModelVersion unneeded,
      boolean mayUnload) {
    List<Announcement> hosts = view.withEither(kept, unneeded);
    boolean isKeptEverywhere = view.with(kept).size() == hosts.size();
    List<Announcement> stillLoaded = view.with(unneeded);
    if (stillLoaded.isEmpty() || isStillUsed(configuration, kept, unneeded)) {
      return new RequiredWork(List.of(), cleared(progress));
    }
    List<PlannedOrder> wishes = new ArrayList<>(loads(view, hosts, kept, hosts.size()));
    if (mayUnload) {
      Predicate<Announcement> canUnload =
          isKeptEverywhere ? engine -> true : engine -> EngineView.hasLoaded(engine, kept);
      stillLoaded.stream()
          .filter(canUnload)
          .map(engine -> new PlannedOrder(OrderKind.UNLOAD, engine.id(), unneeded))
          .forEach(wishes::add);
    }
    return new RequiredWork(wishes, progress);
  }

  private static RollOutProgress cleared(RollOutProgress progress) {
    return new RollOutProgress(
        progress.model(), progress.from(), progress.to(), progress.preparedSteps(), true);
  }

  // A team that allows only the replaced version would have no engine left, and all its requests
  // would be refused.
  private static boolean isStillUsed(
      Configuration configuration, ModelVersion kept, ModelVersion unneeded) {
    boolean isCurrent =
        configuration
            .model(unneeded.model())
            .map(Model::current)
            .filter(unneeded.version()::equals)
            .isPresent();
    boolean isOnlyChoice =
        configuration.teams().stream()
            .anyMatch(team -> team.allows(unneeded) && !team.allows(kept));
    return isCurrent || isOnlyChoice;
  }
}
