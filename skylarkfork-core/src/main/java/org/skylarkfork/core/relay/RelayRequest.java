package org.skylarkfork.core.relay;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.placement.PromptPart;

/**
 * The head of a caller's request, as far as decisions rest on it.
 *
 * @param number number that the entry gave it
 * @param id id that the caller gave it, for logs
 * @param host host that it names
 * @param path path with its query
 * @param waitMillis how long the caller waits from the arrival, in milliseconds; 0 if it didn't say
 * @param key the caller's key, or null
 * @param model the model it names, or null
 * @param promptTokens tokens of its prompt; 0 if unknown
 * @param outputTokens tokens that its caller expects of the answer; 0 if unknown
 * @param prompt the shared parts of its prompt in order, its own part last
 * @param session session that it belongs to, or null
 * @param lastEventId event after which its stream is to begin, or null
 * @param contentHash hash of its method, host, path and body, the same on each entry
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
    long contentHash) {

  /** Copies the list. */
  public RelayRequest {
    prompt = List.copyOf(prompt);
  }

  /**
   * Returns what it has in common with the same request sent again; the team is null without a key.
   */
  RequestKey keyOf(@Nullable RelayTeam team) {
    return new RequestKey(team == null ? "" : team.name(), contentHash);
  }
}
