package org.skylarkfork.runtime.http;

import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import reactor.core.publisher.Mono;
import reactor.netty.ByteBufFlux;
import reactor.netty.http.client.HttpClientResponse;

/** Reads an upstream's error answer and tells whether it had started the request. */
final class Refusals {

  private static final int MOST_CHARACTERS = 300;

  private Refusals() {}

  /** Reads the error and ends the call as refused. */
  static Mono<Void> read(
      String requestId, HttpClientResponse response, ByteBufFlux content, UpstreamCall call) {
    AttemptStage stage = stage(requestId, response);
    return content
        .asString()
        .scan("", (start, part) -> shortened(start + part))
        .takeUntil(start -> start.length() >= MOST_CHARACTERS)
        .last("")
        .doOnNext(text -> call.fail(stage, response.status().code() + " " + text))
        .then();
  }

  /** Returns what an error states; one that names another request states nothing. */
  private static AttemptStage stage(String requestId, HttpClientResponse response) {
    if (namesOther(requestId, response)) {
      return AttemptStage.ANSWER_BEGUN;
    }
    return isNotStarted(response) ? AttemptStage.REFUSED_NOT_STARTED : AttemptStage.REFUSED_STARTED;
  }

  /** Returns whether an answer says that its request was not started. */
  static boolean isNotStarted(HttpClientResponse response) {
    return "true".equalsIgnoreCase(response.responseHeaders().get(HttpNames.NOT_STARTED));
  }

  /** Returns whether an answer names a request other than this one. */
  static boolean namesOther(String requestId, HttpClientResponse response) {
    String named = response.responseHeaders().get(HttpNames.REQUEST_ID);
    return named != null && !named.equals(requestId);
  }

  private static String shortened(String text) {
    return text.length() <= MOST_CHARACTERS ? text : text.substring(0, MOST_CHARACTERS);
  }
}
