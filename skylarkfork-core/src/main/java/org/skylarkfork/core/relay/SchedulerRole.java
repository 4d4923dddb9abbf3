package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.placement.EngineGroups;

/**
 * The group of engines that a daemon places prompts on, and whether the assignment is certain.
 *
 * <p>Two schedulers may both assume that they are responsible for a group while it is reassigned. A
 * scheduler without a recent proof of being up to date doesn't assign engines whose request rate is
 * limited. A new scheduler waits until the previous one must have stopped and the sends that the
 * previous one assigned have left the window, because it starts as if the window were used up.
 */
final class SchedulerRole {

  /** Maximum age of the newest proof for a scheduler to rely on its role; two polls. */
  private static final Duration MAX_PROOF_AGE = Duration.ofMillis(1000);

  /**
   * Time that a new scheduler waits. The previous scheduler was notified at the same moment, or it
   * is cut off and was replaced after a silence of 2.6 s, when its last proof had long expired.
   */
  private static final Duration HANDOVER_WAIT = ColdStartLimiter.WINDOW.plusMillis(350);

  private final RelayView view;
  private final String self;
  private int groups;
  private int group = -1;
  private Instant since = Instant.EPOCH;

  /**
   * Creates a role that isn't known yet.
   *
   * @param view the entry's view of the deployment
   * @param self peer name of this daemon
   */
  SchedulerRole(RelayView view, String self) {
    this.view = view;
    this.self = self;
  }

  /** Updates this daemon's role from the entry's view. */
  void tick(Instant now) {
    int ownGroup = view.schedulers().indexOf(self);
    int groupCount = view.schedulers().size();
    if (ownGroup != group || groupCount != groups) {
      group = ownGroup;
      groups = groupCount;
      since = now;
    }
  }

  /** Returns the time of the last change of the role. */
  Instant since() {
    return since;
  }

  /** Returns whether this daemon is certainly the only one that assigns an engine. */
  boolean ownsEngine(String engine, Instant now) {
    tick(now);
    return group >= 0
        && EngineGroups.groupOf(engine, groups) == group
        && !now.isBefore(since.plus(HANDOVER_WAIT))
        && view.proofAge(now).compareTo(MAX_PROOF_AGE) < 0;
  }
}
