package org.skylarkfork.runtime.limits;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the memory of the requests that a daemon holds for all its clients: their bodies, or their
 * heads.
 *
 * <p>Without the limit many requests of the allowed size fill the memory, and the event loop then
 * fails or blocks. If all together exceed it, the largest that is still being received is refused:
 * it hasn't run, and the small ones of others are served on.
 *
 * <p>Thread-safe. Holders are told to refuse while the lock is held, so they must not block.
 */
public final class RequestBuffers {

  /** Maximum size of a small body, in bytes. */
  public static final int SMALL_BYTES = 64 << 10;

  /** Maximum size of all bodies but the small ones, in bytes: four of the longest by default. */
  public static final long MAX_LARGE_BYTES = 16L << 20;

  /**
   * Maximum size of all bodies, in bytes, which leaves 21 MB of an entry's direct memory of 80 MB
   * beside the answers.
   */
  public static final long MAX_TOTAL_BYTES = 24L << 20;

  private final int smallBytes;
  private final long maxLargeBytes;
  private final long maxTotalBytes;
  private final Map<Holder, Integer> received = new HashMap<>();
  private final Map<Holder, Integer> running = new HashMap<>();
  private long largeBytes;
  private long totalBytes;

  /**
   * Creates limits on bodies.
   *
   * @param maxLargeBytes maximum size of all bodies but the small ones, in bytes
   * @param maxTotalBytes maximum size of all bodies, in bytes
   */
  public RequestBuffers(long maxLargeBytes, long maxTotalBytes) {
    this(SMALL_BYTES, maxLargeBytes, maxTotalBytes);
  }

  /**
   * Creates limits.
   *
   * @param smallBytes maximum size of a small request, in bytes
   * @param maxLargeBytes maximum size of all requests but the small ones, in bytes
   * @param maxTotalBytes maximum size of all requests, in bytes
   */
  public RequestBuffers(int smallBytes, long maxLargeBytes, long maxTotalBytes) {
    this.smallBytes = smallBytes;
    this.maxLargeBytes = maxLargeBytes;
    this.maxTotalBytes = maxTotalBytes;
  }

  /** Receives a request; equal to itself only. */
  public interface Holder {

    /** Refuses the request, of which nothing has run, and releases its memory. */
    void refuse();
  }

  /**
   * Records the size of a request that is being received, before it grows to it, and refuses the
   * largest ones while all together exceed a limit, possibly this one.
   *
   * @param bytes size, in bytes; 0 if nothing is held
   */
  public synchronized void resize(Holder holder, int bytes) {
    Integer before = bytes == 0 ? received.remove(holder) : received.put(holder, bytes);
    add(bytes, 1);
    add(before == null ? 0 : before, -1);
    while ((largeBytes > maxLargeBytes || totalBytes > maxTotalBytes) && !received.isEmpty()) {
      refuseLargest();
    }
  }

  /** Records that a request is complete, so that it may run and can't be refused. */
  public synchronized void complete(Holder holder) {
    Integer bytes = received.remove(holder);
    if (bytes != null) {
      running.put(holder, bytes);
    }
  }

  /** Records that a request was released; does nothing for an unknown one. */
  public synchronized void remove(Holder holder) {
    Integer receivedBytes = received.remove(holder);
    Integer runningBytes = running.remove(holder);
    add(receivedBytes == null ? 0 : receivedBytes, -1);
    add(runningBytes == null ? 0 : runningBytes, -1);
  }

  /** Returns the size of all requests, in bytes. */
  public synchronized long totalBytes() {
    return totalBytes;
  }

  private void add(int bytes, int sign) {
    totalBytes += (long) sign * bytes;
    largeBytes += bytes > smallBytes ? (long) sign * bytes : 0;
  }

  private void refuseLargest() {
    Map.Entry<Holder, Integer> largest = null;
    for (Map.Entry<Holder, Integer> entry : received.entrySet()) {
      if (largest == null || entry.getValue() > largest.getValue()) {
        largest = entry;
      }
    }
    if (largest == null) {
      return;
    }
    Holder holder = largest.getKey();
    remove(holder);
    holder.refuse();
  }
}
