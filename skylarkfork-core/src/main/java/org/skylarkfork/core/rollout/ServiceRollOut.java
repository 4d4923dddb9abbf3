package org.skylarkfork.core.rollout;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The newest roll-out of a service, as the control VMs replicate it.
 *
 * <p>It holds what each later leader needs to decide on it: a leader that has just been elected has
 * counted nothing itself, and after the move the old version receives no requests by which it could
 * be measured again.
 *
 * @param service the service
 * @param target the new version
 * @param deadlineMillis time from the command in which the roll-out should be decided, in
 *     milliseconds
 * @param phase the present phase
 * @param startIndex log index of the command that started the roll-out, which distinguishes it from
 *     other roll-outs to the same version; 0 if an older version recorded it
 * @param baseline results of the other versions from the start of the roll-out to the move; null
 *     before the move or if an older version recorded the move
 * @param rolledBack versions of the service that earlier roll-outs rolled back, oldest first
 * @param sessionShare share of sessions that take part in the canary phase, in ten-thousandths; 0
 *     in the first half of the roll-out's time and in records of older versions
 */
public record ServiceRollOut(
    String service,
    String target,
    long deadlineMillis,
    RollOutPhase phase,
    long startIndex,
    @Nullable VersionTotals baseline,
    List<String> rolledBack,
    int sessionShare) {

  /** Number of parts of which {@link #sessionShare} counts some. */
  public static final int SESSION_PARTS = 10_000;

  /** Copies the list. */
  public ServiceRollOut {
    rolledBack = List.copyOf(rolledBack);
  }

  /** Creates a roll-out as older versions recorded it. */
  public ServiceRollOut(String service, String target, long deadlineMillis, RollOutPhase phase) {
    this(service, target, deadlineMillis, phase, 0, null, List.of());
  }

  /** Creates a roll-out in which no sessions take part in the canary phase. */
  public ServiceRollOut(
      String service,
      String target,
      long deadlineMillis,
      RollOutPhase phase,
      long startIndex,
      @Nullable VersionTotals baseline,
      List<String> rolledBack) {
    this(service, target, deadlineMillis, phase, startIndex, baseline, rolledBack, 0);
  }

  /** Returns this roll-out in another phase. */
  public ServiceRollOut withPhase(RollOutPhase newPhase) {
    return new ServiceRollOut(
        service, target, deadlineMillis, newPhase, startIndex, baseline, rolledBack, sessionShare);
  }

  /** Returns this roll-out with the results of the other versions until the move. */
  public ServiceRollOut withBaseline(@Nullable VersionTotals newBaseline) {
    return new ServiceRollOut(
        service, target, deadlineMillis, phase, startIndex, newBaseline, rolledBack, sessionShare);
  }

  /** Returns this roll-out with another share of sessions in the canary phase. */
  public ServiceRollOut withSessionShare(int newShare) {
    return new ServiceRollOut(
        service, target, deadlineMillis, phase, startIndex, baseline, rolledBack, newShare);
  }

  /** Returns whether this roll-out is not decided yet. */
  public boolean isRunning() {
    return phase == RollOutPhase.CANARY || phase == RollOutPhase.MOVING;
  }

  /** Returns whether another record is of the same roll-out, whatever its phase. */
  public boolean isSameAs(ServiceRollOut other) {
    return service.equals(other.service)
        && target.equals(other.target)
        && startIndex == other.startIndex;
  }

  /** Returns whether a version is neither the new one nor one that was rolled back. */
  public boolean isOldVersion(String version) {
    return !version.equals(target) && !rolledBack.contains(version);
  }
}
