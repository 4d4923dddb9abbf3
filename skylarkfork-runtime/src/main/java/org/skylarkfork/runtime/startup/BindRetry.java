package org.skylarkfork.runtime.startup;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import org.tinylog.Logger;

/**
 * Decides how long a start tries to bind its listeners, and logs what it waits for.
 *
 * <p>A port may be in use for a moment: by a predecessor that is still ending, or as the local port
 * of another process's connection.
 *
 * <p>The class needs nothing outside {@code java.base} until a bind fails. It isn't thread-safe.
 */
public final class BindRetry {

  /** Longest wait for an address that the daemon can't do without; outlasts a planned stop. */
  public static final Duration MAX_WAIT = Duration.ofSeconds(10);

  /** Longest wait for an address that the daemon can do without: as long as it runs. */
  public static final Duration UNLIMITED = Duration.ofNanos(Long.MAX_VALUE);

  /** Time between two attempts within {@link #MAX_WAIT}, in milliseconds. */
  private static final long INTERVAL_MILLIS = 100;

  /** Time between two attempts after {@link #MAX_WAIT}, in milliseconds. */
  private static final long LATE_INTERVAL_MILLIS = 1_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Duration maxWait;
  private final long startedAt;
  private final Set<InetSocketAddress> failed = new HashSet<>();

  /**
   * Creates an instance that hasn't tried anything.
   *
   * @param maxWait longest time from the first attempt to the last
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  public BindRetry(Duration maxWait, long now) {
    this.maxWait = maxWait;
    this.startedAt = now;
  }

  /**
   * Decides whether an address is tried again, and logs its first failure.
   *
   * @param address address that can't be used now
   * @param cause why
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  public boolean shouldRetry(InetSocketAddress address, Throwable cause, long now) {
    if (now - startedAt >= maxWait.toNanos()) {
      return false;
    }
    if (failed.add(address)) {
      Logger.warn(
          "node: cannot listen yet address={} maxWaitMillis={} cause={}",
          address,
          maxWait.toMillis(),
          cause.getMessage());
    }
    return true;
  }

  /**
   * Returns the time until the next attempt, in milliseconds.
   *
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  public long delayMillis(long now) {
    return now - startedAt < MAX_WAIT.toNanos() ? INTERVAL_MILLIS : LATE_INTERVAL_MILLIS;
  }

  /**
   * Logs that an address which had failed is bound.
   *
   * @param address address that is bound
   * @param now current time of the process's monotonic clock, in nanoseconds
   */
  public void onBound(InetSocketAddress address, long now) {
    if (failed.remove(address)) {
      Logger.info(
          "node: listens after a wait address={} waitedMillis={}",
          address,
          (now - startedAt) / NANOS_PER_MILLI);
    }
  }
}
