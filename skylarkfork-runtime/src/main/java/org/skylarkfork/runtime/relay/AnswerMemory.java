package org.skylarkfork.runtime.relay;

import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.MemoryBudget;

/**
 * Limits on what an entry holds of upstreams' answers.
 *
 * @param bodies limits on the buffers of bodies and events, in direct memory
 * @param heads limits on heads and trailers, in the heap
 */
record AnswerMemory(AnswerBuffers bodies, AnswerBuffers heads) {

  /** Returns the limits of a process. */
  static AnswerMemory of(MemoryBudget memory) {
    return new AnswerMemory(
        new AnswerBuffers(AnswerBuffers.MAX_ANSWER_BYTES, memory.answerBytes()),
        new AnswerBuffers(Integer.MAX_VALUE, memory.answerHeadBytes()));
  }
}
