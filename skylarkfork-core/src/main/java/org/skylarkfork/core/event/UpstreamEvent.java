package org.skylarkfork.core.event;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamRun;

/** What upstreams and supporting services do. */
public sealed interface UpstreamEvent extends Event {

  /**
   * An upstream announced itself to this daemon.
   *
   * @param announcement what it said
   */
  record Announced(Announcement announcement) implements UpstreamEvent {}

  /**
   * An engine sent further tokens of an answer.
   *
   * @param attemptId id of the attempt whose connection they came on
   * @param echoedRequestId request id that the upstream gave, or null if it gave none
   * @param offset number of tokens of the answer before these, resume offset included
   * @param tokens how many tokens
   * @param text their text
   */
  record TokensArrived(
      String attemptId, @Nullable String echoedRequestId, long offset, int tokens, String text)
      implements UpstreamEvent {}

  /**
   * An engine ended its answer with its final frame.
   *
   * @param attemptId id of the attempt
   * @param echoedRequestId request id that the upstream gave, or null if it gave none
   * @param finishReason why it ended, such as {@code stop} or {@code length}
   * @param usage tokens counted for this attempt
   */
  record DraftFinished(
      String attemptId, @Nullable String echoedRequestId, String finishReason, Usage usage)
      implements UpstreamEvent {}

  /**
   * A plain service sent its whole answer.
   *
   * @param attemptId id of the attempt
   * @param echoedRequestId request id that the upstream gave, or null if it gave none
   * @param status HTTP status
   * @param headers headers to pass on
   * @param body whole body
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
   * An attempt ended without its whole answer; nothing more comes of it.
   *
   * @param attemptId id of the attempt
   * @param moment how far it had got
   * @param detail what the connection or the upstream said
   */
  record AttemptFailed(String attemptId, AttemptStage moment, String detail)
      implements UpstreamEvent {}

  /** How far an attempt had got when it failed, as the sender knows for certain. */
  enum AttemptStage {
    /** No connection stood, so no byte was sent. */
    BEFORE_CONNECT,
    /** A connection stood and no byte of the request was handed to it. */
    CONNECTED,
    /** Part of the request may have been sent. */
    PARTLY_WRITTEN,
    /** The whole request was sent and nothing came back. */
    WRITTEN,
    /** The answer had begun. */
    ANSWER_BEGUN,
    /** The upstream said in its protocol that it did not start the request. */
    REFUSED_NOT_STARTED,
    /** The upstream answered with an error and so may have run the request. */
    REFUSED_STARTED
  }

  /**
   * A connection was opened to an upstream to learn whether it still runs, or could not be.
   *
   * @param upstream the start of the upstream that was meant
   * @param reachable whether it takes connections
   */
  record UpstreamProbed(UpstreamRun upstream, boolean reachable) implements UpstreamEvent {}

  /**
   * The rating service rated an answer.
   *
   * @param requestId id of the request
   * @param attemptId id of the attempt that gave the answer
   * @param score from 0, useless, to 1, perfect
   */
  record Rated(String requestId, String attemptId, double score) implements UpstreamEvent {}

  /**
   * The rating service failed or was too late; no rating comes.
   *
   * @param requestId id of the request
   * @param attemptId id of the attempt that gave the answer
   * @param detail what went wrong
   */
  record RatingMissing(String requestId, String attemptId, String detail)
      implements UpstreamEvent {}

  /**
   * An upstream answered an order, or the order's sending failed.
   *
   * @param orderId id of the order
   * @param outcome what came of it
   * @param newestFencingNumber newest number that the upstream knows, or null if it didn't say
   * @param detail what it said
   */
  record OrderAnswered(
      String orderId, OrderOutcome outcome, @Nullable Long newestFencingNumber, String detail)
      implements UpstreamEvent {}

  /** What came of an order. */
  enum OrderOutcome {
    /** It is carried out. */
    DONE,
    /** It was refused because a higher fencing number was seen. */
    STALE,
    /** It was refused and not carried out. */
    REFUSED,
    /** It may or may not have been carried out. */
    UNKNOWN
  }
}
