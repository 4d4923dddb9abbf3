package org.skylarkfork.runtime.http;

import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import reactor.netty.http.client.HttpClient;

/** Observes how far an HTTP request gets, which decides whether "not run" is true. */
final class StageObserver {

  private StageObserver() {}

  /**
   * Returns a client whose requests tell a call how far they got.
   *
   * <p>"Partly written" is noted before the first byte is handed to the connection. Was it noted
   * after, a reset in between would look like "not run" although the upstream may have read the
   * request, and a resend would run it twice.
   */
  static HttpClient observed(HttpClient client, UpstreamCall call) {
    return client
        .doOnConnected(connection -> call.reached(AttemptStage.CONNECTED))
        .doOnRequest((request, connection) -> call.reached(AttemptStage.PARTLY_WRITTEN))
        .doAfterRequest((request, connection) -> call.reached(AttemptStage.WRITTEN))
        .doOnResponse((response, connection) -> call.reached(AttemptStage.ANSWER_BEGUN));
  }
}
