package org.skylarkfork.core.relay;

/**
 * The newest roll-out of a service.
 *
 * @param service the service
 * @param target version that it moves to
 * @param deadlineMillis time from the order by which it should be decided, in milliseconds
 * @param phase how far it is
 */
public record ServiceRollOut(
    String service, String target, long deadlineMillis, RollOutPhase phase) {

  /** Returns this roll-out in another phase. */
  public ServiceRollOut withPhase(RollOutPhase next) {
    return new ServiceRollOut(service, target, deadlineMillis, next);
  }

  /** Returns whether it isn't decided yet. */
  public boolean isRunning() {
    return phase == RollOutPhase.CANARY || phase == RollOutPhase.MOVING;
  }
}
