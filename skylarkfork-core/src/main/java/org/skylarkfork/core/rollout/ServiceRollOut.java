package org.skylarkfork.core.rollout;

/**
 * The newest roll-out of a service.
 *
 * @param service the service
 * @param target the new version
 * @param deadlineMillis time from the command in which the roll-out should be decided, in
 *     milliseconds
 * @param phase the present phase
 */
public record ServiceRollOut(
    String service, String target, long deadlineMillis, RollOutPhase phase) {

  /** Returns this roll-out in another phase. */
  public ServiceRollOut withPhase(RollOutPhase newPhase) {
    return new ServiceRollOut(service, target, deadlineMillis, newPhase);
  }

  /** Returns whether this roll-out is not decided yet. */
  public boolean isRunning() {
    return phase == RollOutPhase.CANARY || phase == RollOutPhase.MOVING;
  }
}
