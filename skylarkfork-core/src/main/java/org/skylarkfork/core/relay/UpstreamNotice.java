package org.skylarkfork.core.relay;

import org.skylarkfork.core.overload.RejectionLimits;

/**
 * What an upstream states in the head of an answer about the requests that it accepts.
 *
 * @param backoffMillis time for which the upstream asks this entry to send nothing, in
 *     milliseconds; 0 if it asks for none
 * @param leaving whether the upstream states that it is leaving
 * @param rejectionLimit rejections in a second above which the upstream falls over, or {@link
 *     RejectionLimits#NONE}
 */
public record UpstreamNotice(long backoffMillis, boolean leaving, int rejectionLimit) {

  /** Creates the notice of an upstream that states no limit of rejections. */
  public UpstreamNotice(long backoffMillis, boolean leaving) {
    this(backoffMillis, leaving, RejectionLimits.NONE);
  }

  /** The notice of an answer that states nothing. */
  public static final UpstreamNotice NONE = new UpstreamNotice(0, false);

  /** Returns whether the answer states nothing. */
  public boolean isNone() {
    return equals(NONE);
  }
}
