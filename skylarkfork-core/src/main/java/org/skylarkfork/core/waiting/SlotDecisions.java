package org.skylarkfork.core.waiting;

import org.skylarkfork.core.message.SlotMessage.SlotProgress;

/** Receives the decisions on calls that ask for slots. */
interface SlotDecisions {

  /** A call gets a slot at an upstream. */
  void granted(SlotCall call, PooledUpstream upstream);

  /** A call waits; the next decision on it follows within a time in milliseconds. */
  void queued(SlotCall call, long waitMillis);

  /**
   * A call is refused.
   *
   * @param call the call
   * @param waitMillis expected wait that led to the refusal, in milliseconds
   * @param retryAfterMillis retry delay, in milliseconds; 0 for none
   */
  void refused(SlotCall call, long waitMillis, long retryAfterMillis);

  /** No known upstream may receive a call. */
  void unknown(SlotCall call);

  /** The entry has ended a call that waited. */
  void left(SlotCall call, SlotProgress progress);

  /** The limit of an upstream has changed. */
  void limitChanged(PooledUpstream upstream, int before);
}
