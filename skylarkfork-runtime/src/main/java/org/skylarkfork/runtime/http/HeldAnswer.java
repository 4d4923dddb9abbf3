package org.skylarkfork.runtime.http;

import org.skylarkfork.runtime.limits.AnswerBuffers;

/** The heap that the body of an answer takes while it is collected. Thread-safe. */
final class HeldAnswer implements AnswerBuffers.Holder {

  /** A body that grows is copied, and so is one that is complete. */
  private static final int COPIES = 2;

  private final AnswerBuffers answers;
  private final Runnable onGivenUp;
  private volatile boolean released;

  /**
   * Creates a body that takes nothing yet.
   *
   * @param answers limits on all answers
   * @param onGivenUp ends the answer, as all together take too much
   */
  HeldAnswer(AnswerBuffers answers, Runnable onGivenUp) {
    this.answers = answers;
    this.onGivenUp = onGivenUp;
  }

  /**
   * Records the size of the body; does nothing once it was released.
   *
   * @param bytes the size, in bytes
   */
  void resize(int bytes) {
    if (!released) {
      answers.resize(this, COPIES * bytes);
    }
    if (released) {
      answers.remove(this);
    }
  }

  /** Records that the body was released. */
  void release() {
    released = true;
    answers.remove(this);
  }

  @Override
  public void giveUp() {
    onGivenUp.run();
  }
}
