package org.skylarkfork.core.event;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.relay.AttemptFailure;
import org.skylarkfork.core.relay.RateLimit;
import org.skylarkfork.core.relay.RelayRequest;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.core.upstream.UpstreamRun;

/** What happens at the relay. */
public sealed interface RelayEvent extends Event {

  /**
   * An operator or an upstream asks for something that the control VMs agree on.
   *
   * @param callId id of the call, repeated in the answer
   * @param command what is asked for
   * @param limitMillis longest time until the answer, in milliseconds
   */
  record CommandAsked(long callId, RelayCommand command, long limitMillis) implements RelayEvent {}

  /**
   * An upstream announced itself to this daemon.
   *
   * @param instance what it told
   */
  record HeartbeatReceived(UpstreamInstance instance) implements RelayEvent {}

  /**
   * The settings name other control VMs than before.
   *
   * @param nodes peer names of control VMs to ask
   */
  record SeedsChanged(List<String> nodes) implements RelayEvent {

    /** Copies the list. */
    public SeedsChanged {
      nodes = List.copyOf(nodes);
    }
  }

  /**
   * A whole request was read from a caller.
   *
   * @param request its head
   */
  record RequestArrived(RelayRequest request) implements RelayEvent {}

  /**
   * An upstream's answer to an attempt can be given to the caller.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param status status of the answer
   * @param notRun whether the upstream states that it did not run the request
   * @param confidence the model's opinion of its answer from 0 to 100, or null if it gave none
   * @param rateLimit limit that the upstream names, or null if what it says can't be read
   */
  record AnswerBegan(
      long request,
      int attempt,
      int status,
      boolean notRun,
      @Nullable Integer confidence,
      @Nullable RateLimit rateLimit)
      implements RelayEvent {

    /** Makes the beginning of an answer that names no rate limit. */
    public AnswerBegan(
        long request, int attempt, int status, boolean notRun, @Nullable Integer confidence) {
      this(request, attempt, status, notRun, confidence, RateLimit.NONE);
    }
  }

  /**
   * An attempt failed, or its stream broke off.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param failure how
   * @param lastEventId newest event that the caller was given, or null if none
   */
  record AttemptFailed(
      long request, int attempt, AttemptFailure failure, @Nullable String lastEventId)
      implements RelayEvent {}

  /**
   * A stream that has begun has been silent for the time that its attempt names, or for one more
   * such time.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   * @param lastEventId newest event that the caller was given, or null if none
   * @param silentMillis time since its newest byte, in milliseconds
   */
  record AnswerSilent(long request, int attempt, @Nullable String lastEventId, long silentMillis)
      implements RelayEvent {}

  /**
   * It is known whether an upstream still takes connections.
   *
   * @param upstream the start of it that was meant
   * @param reachable whether it takes connections
   */
  record UpstreamProbed(UpstreamRun upstream, boolean reachable) implements RelayEvent {}

  /**
   * The answer of an attempt was read to its end.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   */
  record AnswerEnded(long request, int attempt) implements RelayEvent {}

  /**
   * The caller's connection was closed before its answer was complete.
   *
   * @param request number of the request
   */
  record CallerLeft(long request) implements RelayEvent {}
}
