package org.skylarkfork.runtime.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Frames that wait for one peer, bounded in bytes.
 *
 * <p>When it is full the oldest frames go: the protocols above resend, and a newer message carries
 * the newer term, index or view, so the old one is the one that the peer can best do without. A
 * slow peer thus costs a fixed amount of memory and gets fresh news once it reads again.
 */
final class OutgoingQueue {

  private final int limit;
  private final LongAdder dropped;
  private final Deque<byte[]> frames = new ArrayDeque<>();
  private int bytes;

  /** Creates a queue of so many bytes that counts what it drops. */
  OutgoingQueue(int limit, LongAdder dropped) {
    this.limit = limit;
    this.dropped = dropped;
  }

  /** Adds a frame and drops older ones as needed; a frame above the limit itself is dropped. */
  synchronized void add(byte[] frame) {
    if (frame.length > limit) {
      dropped.increment();
      return;
    }
    while (bytes + frame.length > limit) {
      bytes -= frames.removeFirst().length;
      dropped.increment();
    }
    frames.addLast(frame);
    bytes += frame.length;
  }

  /** Takes the oldest frame, or null if none waits. */
  synchronized byte @Nullable [] poll() {
    byte[] frame = frames.pollFirst();
    if (frame != null) {
      bytes -= frame.length;
    }
    return frame;
  }

  synchronized void clear() {
    dropped.add(frames.size());
    frames.clear();
    bytes = 0;
  }

  synchronized int bytes() {
    return bytes;
  }
}
