package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import org.skylarkfork.core.placement.EngineGroups;

/**
 * Which group of engines a daemon places prompts on, and whether that is certain.
 *
 * <p>Two schedulers may think that a group is theirs while it changes hands. One that isn't proven
 * to be up to date gives no engine out whose requests are bounded, and a new one waits until that
 * must be so of the one before and what that one gave has left the window: it starts as if the
 * window were used up.
 */
final class SchedulerRole {

  /** Age of the newest proof up to which a scheduler's view of its role counts; two polls. */
  private static final Duration FRESH = Duration.ofMillis(1000);

  /**
   * Time that a new scheduler waits. The one before was told in the same moment, or it is cut off
   * and was replaced after its silence of 2.6 s, when its last proof was long too old.
   */
  private static final Duration HANDOVER = ColdStartLimiter.WINDOW.plusMillis(350);

  private final RelayView view;
  private final String self;
  private int groups;
  private int group = -1;
  private Instant since = Instant.EPOCH;

  /**
   * Makes a role that isn't known yet.
   *
   * @param view what the entry believes
   * @param self peer name of this daemon
   */
  SchedulerRole(RelayView view, String self) {
    this.view = view;
    this.self = self;
  }

  /** Notes a change of this daemon's role. */
  void tick(Instant now) {
    int ownGroup = view.schedulers().indexOf(self);
    int allGroups = view.schedulers().size();
    if (ownGroup != group || allGroups != groups) {
      group = ownGroup;
      groups = allGroups;
      since = now;
    }
  }

  /** Returns since when the role is as it is. */
  Instant since() {
    return since;
  }

  /** Returns whether an engine is certainly this daemon's to give out, and no other one's. */
  boolean ownsEngine(String engine, Instant now) {
    tick(now);
    return group >= 0
        && EngineGroups.groupOf(engine, groups) == group
        && !now.isBefore(since.plus(HANDOVER))
        && view.proofAge(now).compareTo(FRESH) < 0;
  }
}
