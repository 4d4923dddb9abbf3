package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.ToDoubleFunction;

/**
 * The figures of all runs of one seed.
 *
 * @param seed the seed
 * @param targets what was to be shown, and whether it was
 * @param runs the runs in order
 */
public record MeasureReport(long seed, List<Target> targets, List<Figures> runs) {

  private static final double COST_LIMIT = 0.6;
  private static final double LOOKUP_LIMIT = 0.5;
  private static final double EXPOSURE_LIMIT = 0.2;
  private static final double DRAFT_MISSES = 1 - MeasuredConfiguration.TARGET;
  private static final double SESSION_MISSES = 1 - MeasuredConfiguration.SESSION_TARGET;
  private static final String SIMPLEST = Policy.SIMPLEST.name();

  /** Copies the lists. */
  public MeasureReport {
    targets = List.copyOf(targets);
    runs = List.copyOf(runs);
  }

  /**
   * One target.
   *
   * @param deployment deployment in which it is looked at
   * @param name what is compared
   * @param value what was measured
   * @param limit most that it may be
   * @param met whether it is at most that
   */
  public record Target(String deployment, String name, double value, double limit, boolean met) {}

  /** Makes the report of runs. */
  static MeasureReport of(long seed, List<Figures> runs) {
    List<Target> targets = new ArrayList<>();
    runs.stream()
        .map(Figures::deployment)
        .distinct()
        .forEach(deployment -> targets.addAll(targets(deployment, runs)));
    return new MeasureReport(seed, targets, runs);
  }

  private static List<Target> targets(String deployment, List<Figures> runs) {
    List<Figures> here = runs.stream().filter(run -> run.deployment().equals(deployment)).toList();
    List<Target> targets = new ArrayList<>();
    add(
        targets,
        here,
        "cost per draft / best model",
        COST_LIMIT,
        "",
        "best model",
        Figures::costMicros);
    add(
        targets,
        here,
        "cost per draft that meets the target / best model",
        COST_LIMIT,
        "",
        "best model",
        Figures::costPerReachedMicros);
    add(
        targets,
        here,
        "cost per draft without a session / best model",
        COST_LIMIT,
        "",
        "best model",
        Figures::sessionlessCostMicros);
    for (String baseline : List.of(SIMPLEST, "random upstream", "one queue", "no queue")) {
      add(
          targets,
          here,
          "p99 of burst lookups / " + baseline,
          LOOKUP_LIMIT,
          "",
          baseline,
          run -> run.burstLookup().p99());
    }
    for (FaultKind bad : List.of(FaultKind.BAD_SUDDEN, FaultKind.BAD_SLOW)) {
      for (String baseline : List.of("fixed threshold", "no detection")) {
        String name = "requests exposed, " + bad.option() + " / " + baseline;
        add(targets, here, name, EXPOSURE_LIMIT, bad.option(), baseline, Figures::exposedRequests);
      }
    }
    List<Figures> full =
        here.stream().filter(run -> run.policy().equals(Policy.FULL.name())).toList();
    find(here, Policy.FULL.name(), "")
        .ifPresent(
            run -> {
              targets.add(most(run, "drafts below target", 1 - run.reachedDrafts(), DRAFT_MISSES));
              targets.add(
                  most(
                      run,
                      "session answers below target",
                      1 - run.reachedSessions(),
                      SESSION_MISSES));
            });
    targets.add(none(deployment, "double runs", full, Figures::doubles));
    targets.add(none(deployment, "false not-run", full, Figures::falseNotRun));
    targets.add(none(deployment, "answers without a bill", full, Figures::billsMissing));
    targets.add(none(deployment, "bills beyond one a request", full, Figures::billsDouble));
    targets.add(none(deployment, "sessions moved but by withdrawal", full, Figures::sessionsMoved));
    targets.add(
        none(deployment, "drafts sent to a withdrawn version", full, Figures::sentToWithdrawn));
    targets.add(none(deployment, "requests without one end", full, Figures::unended));
    return targets;
  }

  private static void add(
      List<Target> targets,
      List<Figures> runs,
      String name,
      double limit,
      String fault,
      String baseline,
      ToDoubleFunction<Figures> figure) {
    Optional<Figures> full = find(runs, Policy.FULL.name(), fault);
    Optional<Figures> other = find(runs, baseline, fault);
    if (full.isPresent() && other.isPresent()) {
      double value = figure.applyAsDouble(full.get()) / figure.applyAsDouble(other.get());
      targets.add(new Target(full.get().deployment(), name, value, limit, value <= limit));
    }
  }

  private static Target most(Figures run, String name, double value, double limit) {
    return new Target(run.deployment(), name, value, limit, value <= limit);
  }

  /** Sums a figure that must be zero over all runs of the full policy, faults included. */
  private static Target none(
      String deployment, String name, List<Figures> full, ToDoubleFunction<Figures> figure) {
    double sum = full.stream().mapToDouble(figure).sum();
    return new Target(deployment, name + " in " + full.size() + " runs", sum, 0, sum == 0);
  }

  /** Returns the run of a policy with one fault, or none if the fault is empty. */
  static Optional<Figures> find(List<Figures> runs, String policy, String fault) {
    List<String> faults = fault.isEmpty() ? List.of() : List.of(fault);
    return runs.stream()
        .filter(run -> run.policy().equals(policy) && run.faults().equals(faults))
        .findFirst();
  }
}
