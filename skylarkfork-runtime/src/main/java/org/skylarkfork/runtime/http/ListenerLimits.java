package org.skylarkfork.runtime.http;

import org.skylarkfork.runtime.limits.DescriptorBudget;
import org.skylarkfork.runtime.limits.MemoryBudget;
import org.skylarkfork.runtime.limits.RequestBuffers;

/**
 * Limits on what the clients of one listener make the daemon hold.
 *
 * @param heads limits on the heap of heads
 * @param bodies limits on the heap of bodies
 * @param maxConnections maximum number of open connections
 */
record ListenerLimits(RequestBuffers heads, RequestBuffers bodies, int maxConnections) {

  /** Number of listeners with many clients: of callers and of operators. */
  private static final int LISTENERS = 2;

  /** Returns new limits for one of the listeners of this process. */
  static ListenerLimits ofProcess() {
    MemoryBudget memory = MemoryBudget.ofProcess();
    DescriptorBudget descriptors = DescriptorBudget.ofProcess(DescriptorBudget.UNKNOWN);
    return new ListenerLimits(
        memory.callHeads(), memory.heapBodies(), descriptors.mainListener(LISTENERS));
  }
}
