package org.skylarkfork.core.effect;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.error.RoutingError;

/** Answers to operators. */
public sealed interface OperatorEffect extends Effect {

  /** Returns the id of the call that is answered. */
  String callId();

  /**
   * Refuses an operator's call.
   *
   * @param callId id of the call
   * @param error what went wrong and what to do
   */
  record RefuseOperator(String callId, RoutingError error) implements OperatorEffect {}

  /**
   * Tells what a dry run found.
   *
   * @param callId id of the call
   * @param rule name of the rule that matched, or null if none did
   * @param reason why it matched, condition by condition
   * @param version model and version that would be tried first, or null if it would be refused
   */
  record DryRunResult(
      String callId, @Nullable String rule, String reason, @Nullable ModelVersion version)
      implements OperatorEffect {}
}
