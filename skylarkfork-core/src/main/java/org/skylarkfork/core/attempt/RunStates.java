package org.skylarkfork.core.attempt;

import org.skylarkfork.core.event.UpstreamEvent.Moment;
import org.skylarkfork.core.request.RunState;

/** What the moment of a failure tells of whether the upstream ran the request. */
public final class RunStates {

  private RunStates() {}

  /**
   * Returns what is known for certain after a failure.
   *
   * <p>Only where no byte can have reached the upstream, or the upstream said that it did not
   * start, is the request not run. A single byte handed to a connection may be a whole small
   * request to an upstream that reads ahead, so it already counts as unknown.
   *
   * @param moment how far the attempt had got
   */
  public static RunState after(Moment moment) {
    return switch (moment) {
      case BEFORE_CONNECT, CONNECTED, REFUSED_NOT_STARTED -> RunState.NOT_RUN;
      case PARTLY_WRITTEN, WRITTEN, ANSWER_BEGUN, REFUSED_STARTED -> RunState.UNKNOWN;
    };
  }

  /**
   * Returns whether a retry after this failure costs upstreams anything.
   *
   * @param moment how far the attempt had got
   */
  static boolean reachedUpstream(Moment moment) {
    return moment != Moment.BEFORE_CONNECT && moment != Moment.CONNECTED;
  }
}
