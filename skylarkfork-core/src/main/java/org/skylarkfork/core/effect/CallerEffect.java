package org.skylarkfork.core.effect;

import java.util.List;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.Usage;

/** Answers to callers. For one request either one refusal or one answer is sent. */
public sealed interface CallerEffect extends Effect {

  /** Returns the id of the request that is answered. */
  String requestId();

  /**
   * Begins a streamed draft answer; the status line and headers go out.
   *
   * @param requestId id of the request
   * @param facts what the headers say
   */
  record BeginStream(String requestId, AnswerMetadata facts) implements CallerEffect {}

  /**
   * Sends tokens of a streamed answer.
   *
   * @param requestId id of the request
   * @param text text of the tokens
   */
  record SendTokens(String requestId, String text) implements CallerEffect {}

  /**
   * Ends a streamed answer with its final frame.
   *
   * @param requestId id of the request
   * @param finishReason why it ended
   * @param usage tokens that the caller is told
   * @param facts final facts, sent as a last comment of the stream
   */
  record EndStream(String requestId, String finishReason, Usage usage, AnswerMetadata facts)
      implements CallerEffect {}

  /**
   * Breaks off a streamed answer with an explicit error in place of the final frame.
   *
   * @param requestId id of the request
   * @param error what the caller is told
   * @param facts final facts
   */
  record BreakStream(String requestId, RoutingError error, AnswerMetadata facts)
      implements CallerEffect {}

  /**
   * Sends a whole draft answer.
   *
   * @param requestId id of the request
   * @param text text of the answer
   * @param finishReason why it ended
   * @param usage tokens that the caller is told
   * @param facts what the headers say
   */
  record SendDraft(
      String requestId, String text, String finishReason, Usage usage, AnswerMetadata facts)
      implements CallerEffect {}

  /**
   * Sends a plain service's whole answer.
   *
   * @param requestId id of the request
   * @param status HTTP status
   * @param headers headers to pass on
   * @param body whole body
   * @param facts what the headers say
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
   * Refuses a request before any of an answer was sent.
   *
   * @param requestId id of the request
   * @param error what the caller is told
   * @param facts what the headers say
   */
  record Refuse(String requestId, RoutingError error, AnswerMetadata facts)
      implements CallerEffect {}
}
