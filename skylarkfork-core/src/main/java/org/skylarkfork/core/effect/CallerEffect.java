package org.skylarkfork.core.effect;

import java.util.List;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.Usage;

/**
 * Answers to callers, carried out by the caller-facing HTTP server. Each request receives either
 * one refusal or one answer.
 */
public sealed interface CallerEffect extends Effect {

  /** Returns the id of the request that is answered. */
  String requestId();

  /**
   * Begins a streamed draft answer: sends the status line and the headers.
   *
   * @param requestId id of the request
   * @param facts values of the answer's headers
   */
  record BeginStream(String requestId, AnswerMetadata facts) implements CallerEffect {}

  /**
   * Sends further tokens of a streamed answer.
   *
   * @param requestId id of the request
   * @param text text of the tokens
   */
  record SendTokens(String requestId, String text) implements CallerEffect {}

  /**
   * Ends a streamed answer with its final frame.
   *
   * @param requestId id of the request
   * @param finishReason why the answer ended
   * @param usage token counts reported to the caller
   * @param facts final values of the answer's headers, sent as the last comment of the stream
   */
  record EndStream(String requestId, String finishReason, Usage usage, AnswerMetadata facts)
      implements CallerEffect {}

  /**
   * Aborts a streamed answer with an explicit error instead of the final frame.
   *
   * @param requestId id of the request
   * @param error error reported to the caller
   * @param facts final values of the answer's headers
   */
  record BreakStream(String requestId, RoutingError error, AnswerMetadata facts)
      implements CallerEffect {}

  /**
   * Sends a complete, unstreamed draft answer.
   *
   * @param requestId id of the request
   * @param text text of the answer
   * @param finishReason why the answer ended
   * @param usage token counts reported to the caller
   * @param facts values of the answer's headers
   */
  record SendDraft(
      String requestId, String text, String finishReason, Usage usage, AnswerMetadata facts)
      implements CallerEffect {}

  /**
   * Sends the complete answer of a plain service.
   *
   * @param requestId id of the request
   * @param status HTTP status
   * @param headers headers to forward to the caller
   * @param body complete body
   * @param facts values of the answer's headers
   */
  record SendServiceAnswer(
      String requestId, int status, List<Header> headers, Bytes body, AnswerMetadata facts)
      implements CallerEffect {

    /** Copies the headers. */
    public SendServiceAnswer {
      headers = List.copyOf(headers);
    }
  }

  /**
   * Refuses a request of whose answer nothing has been sent.
   *
   * @param requestId id of the request
   * @param error error reported to the caller
   * @param facts values of the answer's headers
   */
  record Refuse(String requestId, RoutingError error, AnswerMetadata facts)
      implements CallerEffect {}
}
