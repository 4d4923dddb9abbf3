package org.skylarkfork.runtime.relay;

import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.relay.RelayLimits;

/** Measures how long a caller takes to send a request. Times are the process's monotonic clock. */
final class ReceiptTime {

  /** Maximum time to receive a whole request, well above the deadlines of requests. */
  private static final long MAX_RECEIPT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private boolean active;
  private boolean headComplete;
  private boolean overdueBefore;
  private long since;
  private long lastBodyAt;

  /** Records that a part of a head was received. */
  void onIncompleteHead(int bytes, long now) {
    if (bytes > 0) {
      begin(now);
    }
  }

  private void begin(long now) {
    if (!active) {
      active = true;
      since = now;
    }
  }

  /** Records that the head is complete. */
  void onHead(long now) {
    begin(now);
    headComplete = true;
    overdueBefore = false;
    lastBodyAt = now;
  }

  /** Records that a part of the body was received. */
  void onBody(long now) {
    lastBodyAt = now;
  }

  /** Records that the request is complete or was refused. */
  void end() {
    active = false;
    headComplete = false;
    overdueBefore = false;
  }

  /** Returns whether a request is being received. */
  boolean isActive() {
    return active;
  }

  /** Returns when the request began to arrive. */
  long since() {
    return since;
  }

  /**
   * Returns whether the request is overdue for the second time in a row. In between the event loop
   * has read what had arrived, also after the VM was suspended.
   */
  boolean isOverdue(RelayLimits limits, long now) {
    boolean overdue = active && (headComplete ? isBodyLate(limits, now) : isHeadLate(limits, now));
    boolean twice = overdue && overdueBefore;
    overdueBefore = overdue;
    return twice;
  }

  private boolean isHeadLate(RelayLimits limits, long now) {
    return isOver(now - since, limits.headerTimeoutMillis());
  }

  private boolean isBodyLate(RelayLimits limits, long now) {
    return isOver(now - lastBodyAt, limits.idleTimeoutMillis()) || now - since > MAX_RECEIPT_NANOS;
  }

  private static boolean isOver(long nanos, int maxMillis) {
    return maxMillis > 0 && nanos > TimeUnit.MILLISECONDS.toNanos(maxMillis);
  }
}
