package org.skylarkfork.runtime.limits;

/**
 * Shares of a process's memory that its clients may use, so that a process with less memory than
 * usual holds less for them. Heap and direct memory have the same maximum.
 */
public final class MemoryBudget {

  /** Maximum size of the heads of requests by default, in bytes. */
  private static final long DEFAULT_HEAD_BYTES = 16L << 20;

  /**
   * Maximum size of the buffers of all answers by default, in bytes, which leaves more than half of
   * an entry's direct memory of 80 MB to buffers that are copied as they grow, requests and
   * messages.
   */
  private static final long DEFAULT_ANSWER_BYTES = 32L << 20;

  private static final int ANSWER_DIVISOR = 5;
  private static final int HEAD_DIVISOR = 5;
  private static final int ANSWER_HEAD_DIVISOR = 8;
  private static final int HEAP_ANSWER_DIVISOR = 5;
  private static final int BODY_DIVISOR = 3;
  private static final int LARGE_BODY_DIVISOR = 5;
  private static final int CALL_HEAD_DIVISOR = 12;
  private static final int CALL_BODY_DIVISOR = 4;
  private static final int REPLY_DIVISOR = 5;

  /** Heap that a process needs for each token of a document, with room for the rest. */
  private static final int BYTES_PER_TOKEN = 128;

  /** A frame has as many bytes of objects as characters. */
  private static final int UNREAD_DIVISOR = 8;

  private static final int HEAP_BODY_DIVISOR = 3;
  private static final double LARGE_BODY_SHARE = 0.9;
  private static final double LARGE_HEAD_SHARE = 0.7;

  /** Heap of a small head, in bytes: about a hundred short lines. */
  private static final int SMALL_HEAD_BYTES = 24 << 10;

  private final long maxBytes;

  /**
   * Creates the budget of a process.
   *
   * @param maxBytes maximum size of its heap, in bytes
   */
  public MemoryBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the budget of this process. */
  public static MemoryBudget ofProcess() {
    return new MemoryBudget(Runtime.getRuntime().maxMemory());
  }

  /** Returns new limits on the heap that the heads of requests take together. */
  public RequestBuffers heads() {
    long total = Math.min(DEFAULT_HEAD_BYTES, maxBytes / HEAD_DIVISOR);
    return new RequestBuffers(SMALL_HEAD_BYTES, (long) (total * LARGE_HEAD_SHARE), total);
  }

  /** Returns new limits on the bodies of requests. */
  public RequestBuffers bodies() {
    return new RequestBuffers(
        Math.min(RequestBuffers.MAX_LARGE_BYTES, maxBytes / LARGE_BODY_DIVISOR),
        Math.min(RequestBuffers.MAX_TOTAL_BYTES, maxBytes / BODY_DIVISOR));
  }

  /** Returns the maximum size of the buffers of all answers, in bytes. */
  public long answerBytes() {
    return Math.min(DEFAULT_ANSWER_BYTES, maxBytes * 2 / ANSWER_DIVISOR);
  }

  /** Returns the maximum heap that the heads of all answers take, in bytes. */
  public long answerHeadBytes() {
    return maxBytes / ANSWER_HEAD_DIVISOR;
  }

  /** Returns new limits on the heap that answers take with their heads, where it holds all. */
  public AnswerBuffers heapAnswers() {
    return new AnswerBuffers(Integer.MAX_VALUE, maxBytes / HEAP_ANSWER_DIVISOR);
  }

  /** Returns new limits on the heap that the heads of operators' and upstreams' calls take. */
  public RequestBuffers callHeads() {
    long total = maxBytes / CALL_HEAD_DIVISOR;
    return new RequestBuffers(SMALL_HEAD_BYTES, (long) (total * LARGE_HEAD_SHARE), total);
  }

  /** Returns new limits on the heap that the bodies of operators' and upstreams' calls take. */
  public RequestBuffers callBodies() {
    long total = maxBytes / CALL_BODY_DIVISOR;
    return new RequestBuffers((long) (total * LARGE_HEAD_SHARE), total);
  }

  /** Returns the maximum heap of replies to calls that aren't written yet, in bytes. */
  public long replyBytes() {
    return maxBytes / REPLY_DIVISOR;
  }

  /** Returns new limits on bodies that are held in the heap, with what is made of them. */
  public RequestBuffers heapBodies() {
    long total = maxBytes / HEAP_BODY_DIVISOR;
    return new RequestBuffers((long) (total * LARGE_BODY_SHARE), total);
  }

  /** Returns the maximum number of tokens of a document, such as brackets, names and values. */
  public long documentTokens() {
    return maxBytes / BYTES_PER_TOKEN;
  }

  /** Returns new limits on the frames of streams that wait for slow callers, in characters. */
  public RequestBuffers unreadFrames() {
    long total = maxBytes / UNREAD_DIVISOR;
    return new RequestBuffers(total, total);
  }
}
