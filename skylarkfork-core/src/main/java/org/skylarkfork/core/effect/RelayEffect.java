package org.skylarkfork.core.effect;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.relay.AttemptTarget;
import org.skylarkfork.core.relay.Refusal;
import org.skylarkfork.core.relay.UpstreamInstance;

/** What the relay's runtime is to do. */
public sealed interface RelayEffect extends Effect {

  /**
   * Answers a call of an operator or upstream.
   *
   * @param callId id of the call
   * @param result what the control VMs agreed on, or null if that is not known
   * @param remedy what the caller can do if there is no result
   */
  record ReplyToCall(long callId, @Nullable CommandResult result, String remedy)
      implements RelayEffect {}

  /** Opens the control VM's listeners for operators, upstreams and callers. */
  record TakeCalls() implements RelayEffect {}

  /**
   * Sends a request to an upstream.
   *
   * @param request number of the request
   * @param attempt number of the attempt, rising by one
   * @param target where and how
   */
  record SendAttempt(long request, int attempt, AttemptTarget target) implements RelayEffect {}

  /**
   * Gives the answer of an attempt to the caller, as it comes.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   */
  record PassAnswer(long request, int attempt) implements RelayEffect {}

  /**
   * Ends an attempt whose answer is not wanted, so that the upstream stops working on it.
   *
   * @param request number of the request
   * @param attempt number of the attempt
   */
  record DropAttempt(long request, int attempt) implements RelayEffect {}

  /**
   * Ends a request with an answer of the entry's own.
   *
   * @param request number of the request
   * @param refusal why
   * @param retryAfterMillis when to come back, in milliseconds; 0 to say nothing
   */
  record Refuse(long request, Refusal refusal, long retryAfterMillis) implements RelayEffect {}

  /**
   * Forgets a request that is over.
   *
   * @param request number of the request
   */
  record Forget(long request) implements RelayEffect {}

  /**
   * Finds out whether an upstream still takes connections; {@link
   * org.skylarkfork.core.event.RelayEvent.UpstreamProbed} tells.
   *
   * @param upstream the upstream
   */
  record ProbeUpstream(UpstreamInstance upstream) implements RelayEffect {}

  /**
   * Breaks an answer off, so that the caller sees that it is not complete.
   *
   * @param request number of the request
   */
  record BreakOff(long request) implements RelayEffect {}
}
