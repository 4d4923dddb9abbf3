package org.skylarkfork.core.event;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Events of upstreams and supporting services, submitted by the HTTP clients and, for
 * announcements, by the HTTP server.
 */
public sealed interface UpstreamEvent extends Event {

  /**
   * An announcement of an upstream was received by this daemon.
   *
   * @param announcement the announcement
   */
  record Announced(Announcement announcement) implements UpstreamEvent {}

  /**
   * An engine sent more tokens of an answer.
   *
   * @param attemptId id of the attempt on whose connection the tokens were received
   * @param echoedRequestId request id that the upstream echoed, or null if it echoed none
   * @param offset number of tokens of the answer before these, including the resume offset
   * @param tokens number of tokens
   * @param text text of the tokens
   */
  record TokensArrived(
      String attemptId, @Nullable String echoedRequestId, long offset, int tokens, String text)
      implements UpstreamEvent {}

  /**
   * An engine ended its answer with its final frame.
   *
   * @param attemptId id of the attempt
   * @param echoedRequestId request id that the upstream echoed, or null if it echoed none
   * @param finishReason why the answer ended, such as {@code stop} or {@code length}
   * @param usage tokens that the engine counted for this attempt
   */
  record DraftFinished(
      String attemptId, @Nullable String echoedRequestId, String finishReason, Usage usage)
      implements UpstreamEvent {}

  /**
   * A plain service sent its complete answer.
   *
   * @param attemptId id of the attempt
   * @param echoedRequestId request id that the upstream echoed, or null if it echoed none
   * @param status HTTP status
   * @param headers headers to forward to the caller
   * @param body complete body
   */
  record ServiceAnswered(
      String attemptId,
      @Nullable String echoedRequestId,
      int status,
      List<Header> headers,
      Bytes body)
      implements UpstreamEvent {

    /** Copies the headers. */
    public ServiceAnswered {
      headers = List.copyOf(headers);
    }
  }

  /**
   * An attempt ended without a complete answer; no further event of the attempt follows.
   *
   * @param attemptId id of the attempt
   * @param moment the stage that the attempt had reached
   * @param detail error of the connection or of the upstream
   */
  record AttemptFailed(String attemptId, AttemptStage moment, String detail)
      implements UpstreamEvent {}

  /** The stage that an attempt had certainly reached when it failed. */
  enum AttemptStage {
    /** No connection was established, so no byte was sent. */
    BEFORE_CONNECT,
    /** A connection was established and no byte of the request was written to it. */
    CONNECTED,
    /** Part of the request may have been sent. */
    PARTLY_WRITTEN,
    /** The complete request was sent and no byte of an answer was received. */
    WRITTEN,
    /** The answer had begun. */
    ANSWER_BEGUN,
    /** The upstream reported by its protocol that it did not start the request. */
    REFUSED_NOT_STARTED,
    /** The upstream answered with an error, so it may have run the request. */
    REFUSED_STARTED
  }

  /**
   * A connection attempt to an upstream, made to determine whether it still runs, succeeded or
   * failed.
   *
   * @param upstream the run of the upstream that was probed
   * @param reachable whether the upstream accepts connections
   */
  record UpstreamProbed(UpstreamRun upstream, boolean reachable) implements UpstreamEvent {}

  /**
   * The rating service rated an answer.
   *
   * @param requestId id of the request
   * @param attemptId id of the attempt that gave the answer
   * @param score rating from 0 (useless) to 1 (perfect)
   */
  record Rated(String requestId, String attemptId, double score) implements UpstreamEvent {}

  /**
   * The rating service failed or timed out; no rating follows.
   *
   * @param requestId id of the request
   * @param attemptId id of the attempt that gave the answer
   * @param detail error message
   */
  record RatingMissing(String requestId, String attemptId, String detail)
      implements UpstreamEvent {}

  /**
   * An upstream answered an order, or the order could not be sent.
   *
   * @param orderId id of the order
   * @param outcome outcome of the order
   * @param newestFencingNumber highest fencing number that the upstream knows, or null if it
   *     reported none
   * @param detail message of the upstream, or the error of the sending
   */
  record OrderAnswered(
      String orderId, OrderOutcome outcome, @Nullable Long newestFencingNumber, String detail)
      implements UpstreamEvent {}

  /** Outcome of an order. */
  enum OrderOutcome {
    /** The order was carried out. */
    DONE,
    /** The order was refused because the upstream knows a higher fencing number. */
    STALE,
    /** The order was refused and not carried out. */
    REFUSED,
    /** The order may or may not have been carried out. */
    UNKNOWN
  }
}
