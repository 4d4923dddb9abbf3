package org.skylarkfork.core.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.crash.RequestKeys;
import org.skylarkfork.core.placement.PromptPart;

/**
 * The properties of a caller's request on which routing and placement depend.
 *
 * @param number number that the entry assigned to the request
 * @param id id that the caller assigned to the request, for logs
 * @param host host that the request names
 * @param path path including the query
 * @param waitMillis the caller's timeout, counted from the arrival, in milliseconds; 0 if
 *     unspecified
 * @param key the caller's key, or null if there is none
 * @param model requested model, or null if the request names none
 * @param promptTokens number of tokens of the prompt; 0 if unknown
 * @param outputTokens number of tokens that the caller expects in the answer; 0 if unknown
 * @param prompt the shared parts of the prompt in order, followed by the part specific to this
 *     request
 * @param session session of the request, or null if there is none
 * @param lastEventId id of the event after which the answer's stream begins, or null to begin at
 *     the start
 * @param contentHash hash of the method, host, path and body, equal on all entries
 * @param bodyBytes size of the body in bytes
 */
public record RelayRequest(
    long number,
    String id,
    String host,
    String path,
    long waitMillis,
    @Nullable String key,
    @Nullable String model,
    int promptTokens,
    int outputTokens,
    List<PromptPart> prompt,
    @Nullable String session,
    @Nullable String lastEventId,
    long contentHash,
    int bodyBytes) {

  /** Copies the list. */
  public RelayRequest {
    prompt = List.copyOf(prompt);
  }

  /** Creates a request without a body. */
  public RelayRequest(
      long number,
      String id,
      String host,
      String path,
      long waitMillis,
      @Nullable String key,
      @Nullable String model,
      int promptTokens,
      int outputTokens,
      List<PromptPart> prompt,
      @Nullable String session,
      @Nullable String lastEventId,
      long contentHash) {
    this(
        number,
        id,
        host,
        path,
        waitMillis,
        key,
        model,
        promptTokens,
        outputTokens,
        prompt,
        session,
        lastEventId,
        contentHash,
        0);
  }

  /**
   * Returns the time within which this request is to be answered, in milliseconds.
   *
   * @param timeoutMillis timeout of its route, in milliseconds
   */
  long allowedMillis(long timeoutMillis) {
    return waitMillis > 0 ? Math.min(waitMillis, timeoutMillis) : timeoutMillis;
  }

  /** Returns this request with the size of its body, in bytes. */
  public RelayRequest withBodyBytes(int bytes) {
    return new RelayRequest(
        number,
        id,
        host,
        path,
        waitMillis,
        key,
        model,
        promptTokens,
        outputTokens,
        prompt,
        session,
        lastEventId,
        contentHash,
        bytes);
  }

  /**
   * Returns the keys of the request's content and of the parts of its prompt, equal for each
   * repetition of the request; the team is null for a request without a key.
   */
  RequestKeys keysOf(@Nullable RelayTeam team) {
    return new RequestKeys(
        new RequestKey(team == null ? "" : team.name(), contentHash),
        () -> prompt.stream().map(PromptPart::id).toList());
  }
}
