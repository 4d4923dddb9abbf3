package org.skylarkfork.runtime.transport;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Queue of frames for one peer, bounded in bytes.
 *
 * <p>A full queue drops the oldest frames: the protocols above resend, and a newer message carries
 * the newer term, index or view, so the oldest message is the least useful to the peer. A slow peer
 * thus uses a bounded amount of memory and receives current messages once it reads again.
 */
final class OutgoingQueue {

  private final int limit;
  private final LongAdder dropped;
  private final Deque<byte[]> frames = new ArrayDeque<>();
  private int bytes;

  /** Creates a queue with a limit in bytes and a counter of dropped frames. */
  OutgoingQueue(int limit, LongAdder dropped) {
    this.limit = limit;
    this.dropped = dropped;
  }

  /** Adds a frame and drops older ones as needed; drops the frame if it exceeds the limit. */
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

  /** Removes and returns the oldest frame, or returns null if the queue is empty. */
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
