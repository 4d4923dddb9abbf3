package org.skylarkfork.core.event;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.answer.ConnectionUse;
import org.skylarkfork.core.answer.ForwardedEvents;
import org.skylarkfork.core.answer.ReceivedAnswer;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.reachability.ConnectOutcome;
import org.skylarkfork.core.relay.AttemptFailure;
import org.skylarkfork.core.relay.RateLimit;
import org.skylarkfork.core.relay.RelayRequest;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.relay.UpstreamNotice;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Events of the relay, submitted by the relay's runtime. */
public sealed interface RelayEvent extends Event {

  /**
   * An operator or an upstream submitted a command, which the control VMs replicate and commit.
   *
   * @param callId id of the call, echoed in the answer
   * @param command the submitted command
   * @param limitMillis maximum time until the answer, in milliseconds
   */
  record CommandAsked(long callId, RelayCommand command, long limitMillis) implements RelayEvent {}

  /**
   * A heartbeat of an upstream was received by this daemon.
   *
   * @param instance the content of the heartbeat
   */
  record HeartbeatReceived(UpstreamInstance instance) implements RelayEvent {}

  /**
   * The control VMs in the settings have changed.
   *
   * @param nodes node names of the control VMs to poll
   */
  record SeedsChanged(List<String> nodes) implements RelayEvent {

    /** Copies the list of nodes. */
    public SeedsChanged {
      nodes = List.copyOf(nodes);
    }
  }

  /**
   * A complete request was read from a caller.
   *
   * @param request the head of the request
   */
  record RequestArrived(RelayRequest request) implements RelayEvent {}

  /**
   * An upstream's answer to an attempt began and can be forwarded to the caller.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param status HTTP status of the answer
   * @param notRun whether the upstream reports that it did not run the request
   * @param confidence the model's confidence in its answer, from 0 to 100, or null if it reported
   *     none
   * @param rateLimit rate limit that the upstream reports, or null if the reported value can't be
   *     parsed
   * @param use the use of the connection
   */
  record AnswerBegan(
      long request,
      int attempt,
      int status,
      boolean notRun,
      @Nullable Integer confidence,
      @Nullable RateLimit rateLimit,
      ConnectionUse use)
      implements RelayEvent {

    /** Creates the event for an answer on a connection of which nothing is known. */
    public AnswerBegan(
        long request,
        int attempt,
        int status,
        boolean notRun,
        @Nullable Integer confidence,
        @Nullable RateLimit rateLimit) {
      this(request, attempt, status, notRun, confidence, rateLimit, ConnectionUse.NONE);
    }

    /** Creates the event for an answer that reports no rate limit. */
    public AnswerBegan(
        long request, int attempt, int status, boolean notRun, @Nullable Integer confidence) {
      this(request, attempt, status, notRun, confidence, RateLimit.NONE);
    }
  }

  /**
   * The head of an upstream's answer to an attempt was read, and states something about the
   * requests that the upstream accepts. It precedes all other events of that answer.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param status HTTP status of the answer
   * @param notice what the head states
   */
  record NoticeReceived(long request, int attempt, int status, UpstreamNotice notice)
      implements RelayEvent {}

  /**
   * An attempt failed, or the stream of its answer was cut off.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param failure kind of the failure
   * @param forwarded events that were forwarded to the caller, also of earlier attempts
   * @param answer what was received of the answer
   */
  record AttemptFailed(
      long request,
      int attempt,
      AttemptFailure failure,
      ForwardedEvents forwarded,
      ReceivedAnswer answer)
      implements RelayEvent {

    /** Creates the event of an attempt that has received nothing. */
    public AttemptFailed(
        long request, int attempt, AttemptFailure failure, @Nullable String lastEventId) {
      this(request, attempt, failure, ForwardedEvents.upTo(lastEventId), ReceivedAnswer.NOTHING);
    }
  }

  /**
   * A stream that has begun has been silent for the silence timeout of its attempt, or for another
   * multiple of it.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param forwarded events that were forwarded to the caller, also of earlier attempts
   * @param silentMillis time since the last received byte, in milliseconds
   */
  record AnswerSilent(long request, int attempt, ForwardedEvents forwarded, long silentMillis)
      implements RelayEvent {

    /** Creates the event of a stream whose events up to one with an id were forwarded. */
    public AnswerSilent(
        long request, int attempt, @Nullable String lastEventId, long silentMillis) {
      this(request, attempt, ForwardedEvents.upTo(lastEventId), silentMillis);
    }
  }

  /**
   * A probe determined whether an upstream still accepts connections.
   *
   * @param upstream the run of the upstream that was probed
   * @param reachable whether the upstream accepts connections
   */
  record UpstreamProbed(UpstreamRun upstream, boolean reachable) implements RelayEvent {}

  /**
   * A connection to an upstream was opened, or couldn't be opened.
   *
   * @param upstream the upstream
   * @param forwarder peer name of the entry that was to open the connection for this one, or null
   *     for a connection over this entry's own links
   * @param outcome the outcome
   */
  record UpstreamConnected(
      UpstreamInstance upstream, @Nullable String forwarder, ConnectOutcome outcome)
      implements RelayEvent {}

  /**
   * An upstream sent an answer that isn't the one to the request in progress on its connection. The
   * connection is not used again.
   *
   * @param upstream the upstream
   * @param idle whether no request was in progress; the bytes may be no answer then
   * @param carried whether the answer names a request that the connection has carried before
   * @param use the use of the connection
   */
  record ExtraAnswer(UpstreamInstance upstream, boolean idle, boolean carried, ConnectionUse use)
      implements RelayEvent {}

  /**
   * The answer of an attempt was read to its end.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param answer what was received of the answer
   */
  record AnswerEnded(long request, int attempt, ReceivedAnswer answer) implements RelayEvent {

    /** Creates the event of an answer of which only the end is known. */
    public AnswerEnded(long request, int attempt) {
      this(request, attempt, ReceivedAnswer.NOTHING);
    }
  }

  /**
   * The caller closed its connection before its answer was complete.
   *
   * @param request number of the request
   */
  record CallerLeft(long request) implements RelayEvent {}
}
