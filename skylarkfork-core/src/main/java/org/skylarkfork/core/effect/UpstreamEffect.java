package org.skylarkfork.core.effect;

import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Calls to upstreams and supporting services. */
public sealed interface UpstreamEffect extends Effect {

  /**
   * Sends a draft to an engine.
   *
   * @param attemptId id of the attempt
   * @param upstream id of the upstream
   * @param host IP number of the upstream
   * @param port port of the upstream
   * @param request the caller's request
   * @param version model and version to run
   * @param resumeOffset tokens of the answer that are already there
   * @param priority priority for the engine, 0 to 9
   * @param timeoutMillis longest silence before the attempt fails, in milliseconds
   */
  record DispatchDraft(
      String attemptId,
      String upstream,
      String host,
      int port,
      CallerRequest request,
      ModelVersion version,
      long resumeOffset,
      int priority,
      long timeoutMillis)
      implements UpstreamEffect {}

  /**
   * Sends a call to a plain service.
   *
   * @param attemptId id of the attempt
   * @param upstream id of the upstream
   * @param host IP number of the upstream
   * @param port port of the upstream
   * @param request the caller's request
   * @param timeoutMillis time for the whole call, in milliseconds
   */
  record DispatchCall(
      String attemptId,
      String upstream,
      String host,
      int port,
      CallerRequest request,
      long timeoutMillis)
      implements UpstreamEffect {}

  /**
   * Gives up an attempt: closes its connection and tells an engine to cancel. No event follows.
   *
   * @param attemptId id of the attempt
   */
  record CancelAttempt(String attemptId) implements UpstreamEffect {}

  /**
   * Opens a connection to an upstream and closes it again; {@link
   * org.skylarkfork.core.event.UpstreamEvent.UpstreamProbed} tells whether it could be opened.
   *
   * @param upstream the start of the upstream that is meant
   * @param host IP number of the upstream
   * @param port port of the upstream
   */
  record ProbeUpstream(UpstreamRun upstream, String host, int port) implements UpstreamEffect {}

  /**
   * Asks the rating service for a rating.
   *
   * @param requestId id of the request
   * @param attemptId id of the attempt that gave the answer
   * @param version model and version that gave it
   * @param prompt prompt of the request
   * @param answer text to rate
   * @param timeoutMillis how long to wait, in milliseconds
   */
  record RequestRating(
      String requestId,
      String attemptId,
      ModelVersion version,
      String prompt,
      String answer,
      long timeoutMillis)
      implements UpstreamEffect {}

  /**
   * Orders an engine to load or unload something or to change its role.
   *
   * @param orderId id of the order; a repeat has the same
   * @param upstream id of the upstream
   * @param host IP number of the upstream
   * @param port port of the upstream
   * @param fencingNumber number of the lease under which the order is given
   * @param kind {@code load}, {@code unload} or {@code role}
   * @param version model and version; for a change of role those that it runs
   * @param argument adapter or role, or empty
   * @param timeoutMillis how long to wait, in milliseconds
   */
  record SendOrder(
      String orderId,
      String upstream,
      String host,
      int port,
      long fencingNumber,
      String kind,
      ModelVersion version,
      String argument,
      long timeoutMillis)
      implements UpstreamEffect {}
}
