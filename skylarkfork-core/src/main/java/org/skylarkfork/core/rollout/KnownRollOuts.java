package org.skylarkfork.core.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The roll-outs that an entry knows, and for how long.
 *
 * <p>Entries measure the age of a roll-out for the control VMs, whose clocks may differ and whose
 * processes may all restart during a roll-out.
 */
public final class KnownRollOuts {

  private List<ServiceRollOut> newest = List.of();
  private final Map<String, KnownTimes> timesByService = new HashMap<>();

  /** Times at which this process learned of a roll-out's start and move. */
  private record KnownTimes(Instant startedAt, @Nullable Instant movedAt) {}

  /** Returns the newest roll-out of each service. */
  public List<ServiceRollOut> newest() {
    return newest;
  }

  /**
   * Replaces the known roll-outs.
   *
   * @param rollOuts newest roll-out of each service
   * @param now the present time
   * @return the services that have another roll-out than before
   */
  public List<String> update(List<ServiceRollOut> rollOuts, Instant now) {
    List<String> started = new ArrayList<>();
    for (ServiceRollOut rollOut : rollOuts) {
      if (newest.stream().noneMatch(rollOut::isSameAs)) {
        started.add(rollOut.service());
      }
      updateTimes(rollOut, started.contains(rollOut.service()), now);
    }
    newest = List.copyOf(rollOuts);
    return started;
  }

  private void updateTimes(ServiceRollOut rollOut, boolean isNew, Instant now) {
    KnownTimes known = timesByService.get(rollOut.service());
    if (isNew && rollOut.phase() == RollOutPhase.CANARY) {
      timesByService.put(rollOut.service(), new KnownTimes(now, null));
    } else if (isNew || !rollOut.isRunning()) {
      timesByService.remove(rollOut.service());
    } else if (known != null && known.movedAt == null && rollOut.phase() == RollOutPhase.MOVING) {
      timesByService.put(rollOut.service(), new KnownTimes(known.startedAt, now));
    }
  }

  /** Returns the ages of the running roll-outs that this process has known from their start. */
  public List<RollOutAge> ages(Instant now) {
    List<RollOutAge> ages = new ArrayList<>();
    for (ServiceRollOut rollOut : newest) {
      KnownTimes times = timesByService.get(rollOut.service());
      if (times != null) {
        long millis = Duration.between(times.startedAt, now).toMillis();
        ages.add(
            new RollOutAge(
                rollOut.service(), rollOut.startIndex(), millis, movedMillis(times, now)));
      }
    }
    return ages;
  }

  private static long movedMillis(KnownTimes times, Instant now) {
    return times.movedAt == null ? 0 : Math.max(1, Duration.between(times.movedAt, now).toMillis());
  }
}
