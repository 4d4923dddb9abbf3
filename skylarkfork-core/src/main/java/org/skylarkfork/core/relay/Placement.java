package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * The upstream of an attempt and the times that are expected there.
 *
 * @param upstream the upstream
 * @param waitMillis time until the upstream starts to process the attempt, in milliseconds
 * @param workMillis time that the upstream spends on the prefill or the call, in milliseconds
 * @param firstByteMillis time until the first byte, including the wait, in milliseconds
 * @param newTokens prompt tokens that the upstream has to read
 * @param prefixes prefixes of the prompt, or null if there is none
 * @param shortestWaitMillis shortest wait at any upstream that could have been picked, in
 *     milliseconds
 * @param shift number of ranks by which the attempt is moved back at the upstream because its team
 *     is over its fair share; 0 for none
 */
record Placement(
    TrackedUpstream upstream,
    double waitMillis,
    double workMillis,
    double firstByteMillis,
    int newTokens,
    @Nullable PromptPrefixes prefixes,
    double shortestWaitMillis,
    int shift) {

  /** Creates the placement of an attempt that isn't shifted, before upstreams are compared. */
  Placement(
      TrackedUpstream upstream,
      double waitMillis,
      double workMillis,
      double firstByteMillis,
      int newTokens,
      @Nullable PromptPrefixes prefixes) {
    this(upstream, waitMillis, workMillis, firstByteMillis, newTokens, prefixes, waitMillis, 0);
  }

  /** Returns this placement with the shortest wait of those that it was compared with. */
  Placement withShortestWait(double millis) {
    return new Placement(
        upstream, waitMillis, workMillis, firstByteMillis, newTokens, prefixes, millis, shift);
  }

  /** Returns this placement with a shift and the wait that is expected with it. */
  Placement shifted(int ranks, double shiftedWaitMillis) {
    return new Placement(
        upstream,
        shiftedWaitMillis,
        workMillis,
        firstByteMillis + shiftedWaitMillis - waitMillis,
        newTokens,
        prefixes,
        shortestWaitMillis,
        ranks);
  }
}
