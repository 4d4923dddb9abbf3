package org.skylarkfork.runtime.limits;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the memory that a daemon holds for upstreams' answers.
 *
 * <p>An upstream may send bytes without end. If all answers together exceed their limit, the
 * largest is given up, so that the others are served on.
 *
 * <p>Thread-safe. Holders are told to give up without the lock: doing so may wait for one that is
 * held while another answer grows.
 */
public final class AnswerBuffers {

  /** Maximum size of the buffer of one answer, in bytes. */
  public static final int MAX_ANSWER_BYTES = 16 << 20;

  private final int maxAnswerBytes;
  private final long maxTotalBytes;
  private final Map<Holder, Integer> sizes = new HashMap<>();
  private long totalBytes;

  /**
   * Creates the limits.
   *
   * @param maxAnswerBytes maximum size of the buffer of one answer, in bytes
   * @param maxTotalBytes maximum size of the buffers of all answers, in bytes
   */
  public AnswerBuffers(int maxAnswerBytes, long maxTotalBytes) {
    this.maxAnswerBytes = maxAnswerBytes;
    this.maxTotalBytes = maxTotalBytes;
  }

  /** Buffers an answer; equal to itself only. */
  public interface Holder {

    /** Gives the answer up, which is the largest while all together are too large. */
    void giveUp();
  }

  /**
   * Records the size of an answer's buffer, and gives up the largest answers while all together
   * exceed their limit, possibly this one.
   *
   * @throws TooLongAnswerException if this answer exceeds its own limit
   */
  public void resize(Holder holder, int bytes) {
    if (bytes > maxAnswerBytes) {
      throw new TooLongAnswerException("an answer", maxAnswerBytes);
    }
    record(holder, bytes).forEach(Holder::giveUp);
  }

  /** Records a size and removes the largest answers that exceed the limit. */
  private synchronized List<Holder> record(Holder holder, int bytes) {
    Integer before = bytes == 0 ? sizes.remove(holder) : sizes.put(holder, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    List<Holder> excess = new ArrayList<>();
    while (totalBytes > maxTotalBytes) {
      excess.add(removeLargest());
    }
    return excess;
  }

  /** Records that the buffer of an answer was released. */
  public synchronized void remove(Holder holder) {
    Integer before = sizes.remove(holder);
    totalBytes -= before == null ? 0 : before;
  }

  /** Returns the size of the buffers of all answers, in bytes. */
  public synchronized long totalBytes() {
    return totalBytes;
  }

  private Holder removeLargest() {
    Holder largest = Collections.max(sizes.entrySet(), Map.Entry.comparingByValue()).getKey();
    remove(largest);
    return largest;
  }
}
