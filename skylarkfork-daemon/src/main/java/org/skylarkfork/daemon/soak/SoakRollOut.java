package org.skylarkfork.daemon.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.rollout.RollOutPhase;

/**
 * A roll-out to a second version of the service's upstreams, good or slow, while faults happen.
 *
 * <p>A good version may be rolled back, since faults also hit its upstreams. A slow one must never
 * succeed, whatever happens to the control VMs meanwhile.
 */
final class SoakRollOut {

  /** Version of the upstreams that serve from the start. */
  static final String OLD_VERSION = "1";

  static final String NEW_VERSION = "2";

  /** Delay of each answer of a slow version, far above what faults add to the old one's mean. */
  private static final Duration SLOW_DELAY = Duration.ofMillis(1500);

  private final SoakOperator operator;
  private final UniformRandomProvider random;
  private final int controls;
  private final Duration deadline;
  private final boolean slow;
  private volatile boolean ordered;

  /**
   * Creates a roll-out that isn't ordered yet.
   *
   * @param settings deadline, seed and number of control VMs
   * @param operator sends the order
   * @param random source of random choices
   */
  SoakRollOut(SoakSettings settings, SoakOperator operator, UniformRandomProvider random) {
    this.operator = operator;
    this.random = random;
    this.controls = settings.controls();
    this.deadline = settings.duration();
    this.slow = isSlow(settings);
  }

  private static boolean isSlow(SoakSettings settings) {
    return Math.floorMod(settings.seed(), 2) == 1;
  }

  /** Returns by how much the upstreams of the new version delay their answers. */
  static Duration delay(SoakSettings settings) {
    return isSlow(settings) ? SLOW_DELAY : Duration.ZERO;
  }

  /** Returns whether the upstreams of the new version have been started. */
  boolean isOrdered() {
    return ordered;
  }

  /** Orders the roll-out at one control VM; returns whether it was acknowledged. */
  boolean order() throws InterruptedException {
    ordered = true;
    return operator.beginRollOut(random.nextInt(controls), NEW_VERSION, deadline);
  }

  /** Returns whether the roll-out is decided, as one control VM reads it. */
  boolean isDecided() throws InterruptedException {
    RollOutPhase phase = phase();
    return phase == RollOutPhase.SUCCEEDED || phase == RollOutPhase.ROLLED_BACK;
  }

  private @Nullable RollOutPhase phase() throws InterruptedException {
    return operator.rollOutPhase(random.nextInt(controls));
  }

  /** Returns a finding if a slow version has succeeded. */
  List<String> findings(Instant now) throws InterruptedException {
    boolean isBroken = slow && phase() == RollOutPhase.SUCCEEDED;
    return isBroken ? List.of("a slow version was declared good by " + now) : List.of();
  }
}
