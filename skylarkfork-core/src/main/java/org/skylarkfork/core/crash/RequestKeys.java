package org.skylarkfork.core.crash;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.routing.StableHash;

/**
 * The keys of one request: that of its content and those of the parts of its prompt.
 *
 * <p>Hashes of parts are computed when they are first needed. The source of the ids, and with it
 * the request, is retained. Not thread-safe.
 */
public final class RequestKeys {

  /** Maximum number of parts of a prompt that are examined; the first ones are the most shared. */
  private static final int MAX_PARTS = 32;

  private static final String PART_DOMAIN = "prompt-part";

  private final RequestKey content;
  private final Supplier<List<String>> partIds;
  private @Nullable List<Long> parts;

  /**
   * Creates the keys of a request.
   *
   * @param content key of its content
   * @param partIds returns the ids of the parts of its prompt, in order; called at most once for
   *     the hashes, and again to name a part
   */
  public RequestKeys(RequestKey content, Supplier<List<String>> partIds) {
    this.content = content;
    this.partIds = partIds;
  }

  /** Returns the key of the request's content. */
  public RequestKey content() {
    return content;
  }

  /** Returns the hashes of the parts of the prompt, each once; empty if it has none. */
  public List<Long> parts() {
    List<Long> known = parts;
    if (known == null) {
      known = partIds.get().stream().limit(MAX_PARTS).map(RequestKeys::hash).distinct().toList();
      parts = known;
    }
    return known;
  }

  private static long hash(String partId) {
    return StableHash.of(PART_DOMAIN, partId);
  }

  /**
   * Returns the first of the request's keys that a predicate accepts, or null. The key of the
   * content comes first, then for each part that of the part within the team and that of the part
   * for all teams.
   */
  public @Nullable RequestKey findFirst(Predicate<RequestKey> predicate) {
    if (predicate.test(content)) {
      return content;
    }
    for (long part : parts()) {
      RequestKey withinTeam = RequestKey.ofPart(content.team(), part);
      if (predicate.test(withinTeam)) {
        return withinTeam;
      }
      RequestKey ofAllTeams = RequestKey.ofPartOfAllTeams(part);
      if (predicate.test(ofAllTeams)) {
        return ofAllTeams;
      }
    }
    return null;
  }

  /** Returns the id of the part that a key denotes, or null if it denotes none of this prompt. */
  public @Nullable String partId(RequestKey key) {
    for (String id : partIds.get()) {
      if (key.isOfPart(content.team(), hash(id))) {
        return id;
      }
    }
    return null;
  }
}
