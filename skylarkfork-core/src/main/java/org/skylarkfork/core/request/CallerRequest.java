package org.skylarkfork.core.request;

import java.time.Instant;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request as parsed at the edge; its syntax is already checked.
 *
 * @param requestId unique id made by the entry
 * @param keyHash SHA-256 in hex of the team key that came as bearer token
 * @param kind which protocol it speaks
 * @param model model name that the caller asked for, {@code auto} to leave it to the rules, empty
 *     for a service
 * @param service name of the plain service, or empty for a draft
 * @param method HTTP method
 * @param path path with query behind {@code /services/{service}}, or empty for a draft
 * @param headers headers that rules may look at and services receive
 * @param prompt prompt text of a draft, or empty
 * @param body body as received
 * @param promptTokens estimated length of the prompt in tokens
 * @param maxTokens most tokens that the caller wants
 * @param stream whether the answer is to be streamed
 * @param priority 0 is the most urgent, 9 the least
 * @param session the caller's session, or null for none
 * @param sessionToken the signed pin that a caller sent back, or null for none
 * @param idempotencyKey the caller's key for resends, or null for none
 * @param deadline when the caller gives up
 * @param qualityTarget least wanted chance of a good answer from 0 to 1, or null for the rule's
 */
public record CallerRequest(
    String requestId,
    String keyHash,
    RequestKind kind,
    String model,
    String service,
    String method,
    String path,
    List<Header> headers,
    String prompt,
    Bytes body,
    int promptTokens,
    int maxTokens,
    boolean stream,
    int priority,
    @Nullable String session,
    @Nullable String sessionToken,
    @Nullable String idempotencyKey,
    Instant deadline,
    @Nullable Double qualityTarget) {

  /** Model name by which a caller leaves the choice to the rules. */
  public static final String AUTO = "auto";

  /** Copies the headers. */
  public CallerRequest {
    headers = List.copyOf(headers);
  }
}
