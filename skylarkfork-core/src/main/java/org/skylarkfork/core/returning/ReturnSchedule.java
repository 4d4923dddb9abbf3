package org.skylarkfork.core.returning;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Gives each refused caller of one service a retry time of its own.
 *
 * <p>The first caller gets the time at which capacity is expected to be free, and each further one
 * a time one step later; a step is the time in which one request of the service usually ends. If
 * all callers received the same time, they would return together and be refused together, with no
 * further retry.
 */
public final class ReturnSchedule implements RetryTimes {

  /** Part of its remaining time up to which a caller honours a retry time: a third. */
  private static final int HONOURED_DIVISOR = 3;

  /** Maximum number of retry times that are kept; each takes about 100 bytes. */
  private static final int MAX_TIMES = 1024;

  /** Highest rank that is distinguished; higher ones share its times. */
  private static final int LAST_RANK = 9;

  private static final long MICROS_PER_MILLI = 1000;
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final EndRate ends = new EndRate();

  /** Times that were given out and aren't past, in microseconds since 1970. */
  private final TreeSet<Long> given = new TreeSet<>();

  /** Last time that was given out to each rank. */
  private final Map<Integer, Long> lastByRank = new HashMap<>();

  @Override
  public void recordEnd(Instant now) {
    ends.add(now);
  }

  @Override
  public long delayMillis(long expectedWaitMillis, int rank, long remainingMillis, Instant now) {
    long present = micros(now);
    given.headSet(present, true).clear();
    lastByRank.values().removeIf(time -> time <= present);
    if (given.size() >= MAX_TIMES) {
      return 0;
    }
    long latest = present + remainingMillis * MICROS_PER_MILLI / HONOURED_DIVISOR;
    long first = present + Math.max(1, expectedWaitMillis) * MICROS_PER_MILLI;
    int knownRank = Math.max(0, Math.min(LAST_RANK, rank));
    long time = nextTime(first, latest, knownRank, ends.stepMicros(now));
    long delayMillis = (time - present + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    if (time > latest || present + delayMillis * MICROS_PER_MILLI > latest) {
      return 0;
    }
    given.add(time);
    lastByRank.put(knownRank, time);
    return delayMillis;
  }

  /**
   * Returns the next time of a rank; later than a limit if there is none.
   *
   * <p>Ranks other than the most urgent one leave a free time after each of theirs, so that a more
   * urgent caller that is refused later still gets an early time. A caller for whom no other time
   * is left gets a free one: told none, it would come back at once or not at all.
   */
  private long nextTime(long first, long latest, int rank, long step) {
    @Nullable Long last = lastByRank.get(rank);
    if (last == null) {
      return nextFree(first, latest, step);
    }
    long next = nextFree(Math.max(first, last + step), latest, step);
    boolean skips = rank > 0 && first < last + 2 * step;
    long skipping = skips ? nextFree(next + step, latest, step) : next;
    return skipping > latest ? next : skipping;
  }

  /** Returns the first time that is at least a step away from each given one. */
  private long nextFree(long first, long latest, long step) {
    long time = first;
    @Nullable Long before = given.floor(time);
    if (before != null && time - before < step) {
      time = before + step;
    }
    for (long after : given.tailSet(first, true)) {
      if (after - time >= step || time > latest) {
        break;
      }
      time = after + step;
    }
    return time;
  }

  private static long micros(Instant time) {
    return time.getEpochSecond() * MICROS_PER_SECOND + time.getNano() / MICROS_PER_MILLI;
  }
}
