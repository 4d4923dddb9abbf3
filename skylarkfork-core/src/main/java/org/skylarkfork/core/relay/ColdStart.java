package org.skylarkfork.core.relay;

import org.jspecify.annotations.Nullable;

/**
 * The request rate that upstreams of a service can handle for some time after their start.
 *
 * @param millis time for which an upstream is cold after its start, in milliseconds; 0 for never
 * @param perSecond requests per second that a cold upstream can handle; 0 for no limit
 */
public record ColdStart(int millis, double perSecond) {

  /** The value for services whose upstreams handle the full load from their start on. */
  public static final ColdStart NONE = new ColdStart(0, 0);

  /** Returns the argument, or {@link #NONE} in place of null. */
  static ColdStart orNone(@Nullable ColdStart cold) {
    return cold == null ? NONE : cold;
  }

  /** Returns whether the request rate of cold upstreams is limited. */
  public boolean isBounded() {
    return perSecond > 0;
  }
}
