package org.skylarkfork.core.effect;

import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Calls to upstreams and supporting services, carried out by the HTTP clients. */
public sealed interface UpstreamEffect extends Effect {

  /**
   * Sends an attempt of a draft request to an engine.
   *
   * @param attemptId id of the attempt
   * @param upstream id of the upstream
   * @param host IP address of the upstream
   * @param port port of the upstream
   * @param request the caller's request
   * @param version model and version to run
   * @param resumeOffset number of tokens of the answer that have already been received
   * @param priority priority at the engine, from 0 (most urgent) to 9
   * @param timeoutMillis maximum time without a received byte before the attempt fails, in
   *     milliseconds
   * @param laterAttempt whether an earlier attempt of the request was dispatched
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
      long timeoutMillis,
      boolean laterAttempt)
      implements UpstreamEffect {}

  /**
   * Sends an attempt of a call to a plain service.
   *
   * @param attemptId id of the attempt
   * @param upstream id of the upstream
   * @param host IP address of the upstream
   * @param port port of the upstream
   * @param request the caller's request
   * @param timeoutMillis timeout of the complete call, in milliseconds
   * @param laterAttempt whether an earlier attempt of the request was dispatched
   */
  record DispatchCall(
      String attemptId,
      String upstream,
      String host,
      int port,
      CallerRequest request,
      long timeoutMillis,
      boolean laterAttempt)
      implements UpstreamEffect {}

  /**
   * Cancels an attempt: closes its connection and sends a cancellation to an engine. No event of
   * the attempt follows.
   *
   * @param attemptId id of the attempt
   */
  record CancelAttempt(String attemptId) implements UpstreamEffect {}

  /**
   * Probes an upstream by opening and closing a connection; {@link
   * org.skylarkfork.core.event.UpstreamEvent.UpstreamProbed} reports whether it could be opened.
   *
   * @param upstream the run of the upstream to probe
   * @param host IP address of the upstream
   * @param port port of the upstream
   */
  record ProbeUpstream(UpstreamRun upstream, String host, int port) implements UpstreamEffect {}

  /**
   * Requests a rating of an answer from the rating service.
   *
   * @param requestId id of the request
   * @param attemptId id of the attempt that gave the answer
   * @param version model and version that gave the answer
   * @param prompt prompt of the request
   * @param answer text of the answer to rate
   * @param timeoutMillis timeout of the call, in milliseconds
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
   * Sends an order to an engine to load or unload a model or adapter, or to change its role.
   *
   * @param orderId id of the order; a resend has the same id
   * @param upstream id of the upstream
   * @param host IP address of the upstream
   * @param port port of the upstream
   * @param fencingNumber fencing number of the lease under which the order is sent
   * @param kind {@code load}, {@code unload} or {@code role}
   * @param version model and version; for a change of role, those that the engine runs
   * @param argument adapter to load or unload, or new role, or empty
   * @param timeoutMillis timeout of the call, in milliseconds
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
