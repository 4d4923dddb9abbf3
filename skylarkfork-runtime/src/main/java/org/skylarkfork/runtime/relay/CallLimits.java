package org.skylarkfork.runtime.relay;

import org.skylarkfork.runtime.limits.AnswerBuffers;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.skylarkfork.runtime.limits.RequestBuffers;

/**
 * Limits on the memory that calls at all {@link HttpEndpoint}s of a daemon take together.
 *
 * @param heads limits on heads
 * @param bodies limits on bodies
 * @param replies limits on replies that aren't written yet
 */
record CallLimits(RequestBuffers heads, RequestBuffers bodies, AnswerBuffers replies) {

  /** Returns new limits for a daemon. */
  static CallLimits of(MemoryBudget memory) {
    return new CallLimits(
        memory.callHeads(),
        memory.callBodies(),
        new AnswerBuffers(Integer.MAX_VALUE, memory.replyBytes()));
  }
}
