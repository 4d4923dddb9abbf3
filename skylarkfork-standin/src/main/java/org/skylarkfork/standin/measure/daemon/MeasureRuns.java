package org.skylarkfork.standin.measure.daemon;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** The runs of one report: all policies at first, then each fault, and pairs of faults. */
public final class MeasureRuns {

  private final long seed;
  private final Consumer<Figures> onRun;
  private final List<Figures> runs = new ArrayList<>();

  /**
   * Prepares the runs.
   *
   * @param seed the one seed of all runs
   * @param onRun told of each run when it has ended
   */
  public MeasureRuns(long seed, Consumer<Figures> onRun) {
    this.seed = seed;
    this.onRun = onRun;
  }

  /**
   * Runs all.
   *
   * @param deployments what is measured
   * @param faults faults that the full and the simplest policy meet, each alone
   * @param pairs whether they meet each two of them together as well
   */
  public MeasureReport run(List<Deployment> deployments, Set<FaultKind> faults, boolean pairs) {
    for (Deployment deployment : deployments) {
      policies(deployment);
      for (FaultKind fault : faults) {
        compare(deployment, EnumSet.of(fault));
      }
      if (pairs) {
        pairs(deployment, List.copyOf(faults));
      }
    }
    return MeasureReport.of(seed, runs);
  }

  /** Each policy without faults, and each way of detection with a version that turns bad. */
  private void policies(Deployment deployment) {
    for (Policy policy : Policy.all()) {
      measure(deployment, policy, Set.of());
    }
    for (FaultKind bad : List.of(FaultKind.BAD_SUDDEN, FaultKind.BAD_SLOW)) {
      for (Policy policy : Policy.all()) {
        if (policy.detection() != Policy.DetectionKind.SEQUENTIAL || policy.equals(Policy.FULL)) {
          measure(deployment, policy, Set.of(bad));
        }
      }
    }
  }

  private void pairs(Deployment deployment, List<FaultKind> faults) {
    for (int first = 0; first < faults.size(); first++) {
      for (int second = first + 1; second < faults.size(); second++) {
        compare(deployment, EnumSet.of(faults.get(first), faults.get(second)));
      }
    }
  }

  private void compare(Deployment deployment, Set<FaultKind> faults) {
    boolean done = faults.size() == 1 && faults.stream().allMatch(FaultKind::isBadVersion);
    if (!done) {
      measure(deployment, Policy.FULL, faults);
      measure(deployment, Policy.SIMPLEST, faults);
    }
  }

  private void measure(Deployment deployment, Policy policy, Set<FaultKind> faults) {
    Figures figures = new Run(deployment, policy, faults, seed).run();
    runs.add(figures);
    onRun.accept(figures);
  }
}
