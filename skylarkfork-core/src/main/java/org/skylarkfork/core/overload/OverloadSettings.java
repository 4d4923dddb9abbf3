package org.skylarkfork.core.overload;

/**
 * Which of the parts that act under overload a daemon uses.
 *
 * @param callSlots whether calls to plain services with few slots wait in a queue that all entries
 *     share
 * @param fairShares whether engines are shared fairly between teams under contention
 * @param weightedEntries whether callers are directed to entries in proportion to their capacity
 * @param earlyListeners whether listeners open before the rest of a daemon starts
 * @param spreadReturns whether callers that are refused together get different retry times
 */
public record OverloadSettings(
    boolean callSlots,
    boolean fairShares,
    boolean weightedEntries,
    boolean earlyListeners,
    boolean spreadReturns) {

  /** All parts are in use; each acts only in deployments and at times that call for it. */
  public static final OverloadSettings DEFAULT = new OverloadSettings(true, true, true, true, true);

  /** No part is in use. */
  public static final OverloadSettings NONE =
      new OverloadSettings(false, false, false, false, false);
}
