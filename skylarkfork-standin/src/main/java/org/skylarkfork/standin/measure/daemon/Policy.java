package org.skylarkfork.standin.measure.daemon;

import java.util.List;

/**
 * The mechanisms that one run uses.
 *
 * @param name name in reports
 * @param planner how versions are planned
 * @param chooser how upstreams are chosen
 * @param admission how requests wait
 * @param hedging whether slow lookups get a second attempt
 * @param detection how bad versions are found
 */
public record Policy(
    String name,
    PlannerKind planner,
    ChooserKind chooser,
    AdmissionKind admission,
    boolean hedging,
    DetectionKind detection) {

  /** All mechanisms as daemons use them. */
  public static final Policy FULL =
      new Policy(
          "full",
          PlannerKind.LEAST_COST,
          ChooserKind.POWER_OF_TWO,
          AdmissionKind.FAIR,
          true,
          DetectionKind.SEQUENTIAL);

  /** The simplest that works: best model, random upstream, one queue, a fixed threshold. */
  public static final Policy SIMPLEST =
      new Policy(
          "simplest",
          PlannerKind.BEST,
          ChooserKind.RANDOM,
          AdmissionKind.FIFO,
          false,
          DetectionKind.THRESHOLD);

  /** Planner of drafts. */
  public enum PlannerKind {
    /** The least expected cost, as daemons do. */
    LEAST_COST,
    /** Always the best model. */
    BEST,
    /** Always the cheapest model. */
    CHEAPEST,
    /** The models of the rule in order, each rated. */
    FIXED_ORDER
  }

  /** Choice of an upstream. */
  public enum ChooserKind {
    /** The better of two, as daemons do. */
    POWER_OF_TWO,
    /** Any. */
    RANDOM,
    /** In turn. */
    ROUND_ROBIN,
    /** The least load last heard of. */
    LEAST_REPORTED
  }

  /** Admission and queues. */
  public enum AdmissionKind {
    /** Fair queues for each lane, as daemons do. */
    FAIR,
    /** One queue in the order of arrival. */
    FIFO,
    /** No queue at all. */
    OPEN
  }

  /** Detection of bad versions. */
  public enum DetectionKind {
    /** The sequential test, as daemons do. */
    SEQUENTIAL,
    /** A mean of the last ratings below a fixed threshold. */
    THRESHOLD,
    /** None. */
    NONE
  }

  /** Returns the full policy and each with one mechanism replaced by a baseline, simplest last. */
  public static List<Policy> all() {
    return List.of(
        FULL,
        with("best model", PlannerKind.BEST),
        with("cheapest model", PlannerKind.CHEAPEST),
        with("fixed order", PlannerKind.FIXED_ORDER),
        with("random upstream", ChooserKind.RANDOM),
        with("round robin", ChooserKind.ROUND_ROBIN),
        with("least reported load", ChooserKind.LEAST_REPORTED),
        with("one queue", AdmissionKind.FIFO),
        with("no queue", AdmissionKind.OPEN),
        new Policy("no hedging", FULL.planner, FULL.chooser, FULL.admission, false, FULL.detection),
        with("fixed threshold", DetectionKind.THRESHOLD),
        with("no detection", DetectionKind.NONE),
        SIMPLEST);
  }

  private static Policy with(String name, PlannerKind planner) {
    return new Policy(name, planner, FULL.chooser, FULL.admission, true, FULL.detection);
  }

  private static Policy with(String name, ChooserKind chooser) {
    return new Policy(name, FULL.planner, chooser, FULL.admission, true, FULL.detection);
  }

  private static Policy with(String name, AdmissionKind admission) {
    return new Policy(name, FULL.planner, FULL.chooser, admission, true, FULL.detection);
  }

  private static Policy with(String name, DetectionKind detection) {
    return new Policy(name, FULL.planner, FULL.chooser, FULL.admission, true, detection);
  }
}
