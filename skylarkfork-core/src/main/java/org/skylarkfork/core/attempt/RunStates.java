package org.skylarkfork.core.attempt;

import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.RunState;

/** Derives from the stage of a failure whether the upstream may have run the request. */
public final class RunStates {

  private RunStates() {}

  /**
   * Returns the run state that is certain after a failure.
   *
   * <p>A request counts as not run only if no byte can have reached the upstream, or if the
   * upstream reported that it did not start. After a partial write the state is already unknown,
   * since the connection may have delivered all of a small request.
   *
   * @param stage how far the attempt had progressed
   */
  public static RunState after(AttemptStage stage) {
    return switch (stage) {
      case BEFORE_CONNECT, CONNECTED, REFUSED_NOT_STARTED -> RunState.NOT_RUN;
      case PARTLY_WRITTEN, WRITTEN, ANSWER_BEGUN, REFUSED_STARTED -> RunState.UNKNOWN;
    };
  }

  /**
   * Returns whether the failed attempt may have put load on an upstream.
   *
   * @param stage how far the attempt had progressed
   */
  static boolean reachedUpstream(AttemptStage stage) {
    return stage != AttemptStage.BEFORE_CONNECT && stage != AttemptStage.CONNECTED;
  }
}
