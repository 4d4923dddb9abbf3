package org.skylarkfork.runtime.relay;

import io.netty.channel.Channel;
import org.skylarkfork.runtime.limits.AnswerBuffers;

/** Counts the bytes that a caller hasn't read yet among the buffers of answers. */
final class UnreadAnswer implements AnswerBuffers.Holder {

  private final AnswerBuffers buffers;
  private final Runnable onGivenUp;
  private boolean pending;

  /**
   * Creates a counter of one connection.
   *
   * @param buffers limits on the buffers of answers
   * @param onGivenUp closes the connection, whose buffer is the largest while all are too large
   */
  UnreadAnswer(AnswerBuffers buffers, Runnable onGivenUp) {
    this.buffers = buffers;
    this.onGivenUp = onGivenUp;
  }

  /** Returns whether the caller has yet to read more than the usual buffer of a connection. */
  boolean isPending() {
    return pending;
  }

  /** Records what waits to be written. */
  void update(Channel channel) {
    pending = channel.isActive() && !channel.isWritable();
    if (pending) {
      long bytes = Math.min(channel.bytesBeforeWritable(), AnswerBuffers.MAX_ANSWER_BYTES);
      buffers.resize(this, (int) bytes);
    } else {
      buffers.remove(this);
    }
  }

  /** Records that the connection is closed. */
  void release() {
    pending = false;
    buffers.remove(this);
  }

  @Override
  public void giveUp() {
    onGivenUp.run();
  }
}
