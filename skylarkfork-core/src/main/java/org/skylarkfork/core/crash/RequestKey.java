package org.skylarkfork.core.crash;

import java.util.HexFormat;

/**
 * Identifies requests that have something in common: the same content, as when a caller resends its
 * request under a new id, or the same part of their prompts.
 *
 * <p>The team's name is compared itself rather than hashed, so that no team can construct a request
 * that has the key of another team's request. The key of a part for all teams has no team.
 *
 * @param team name of the callers' team; empty for requests without a key and for all teams
 * @param content hash of the method, host, path and body, or of the part
 */
public record RequestKey(String team, long content) implements Comparable<RequestKey> {

  /**
   * Returns the key of one team's requests with a part in their prompts.
   *
   * @param team the team; empty for requests without a key
   * @param part hash of the part's id
   */
  public static RequestKey ofPart(String team, long part) {
    return new RequestKey(team, part);
  }

  /**
   * Returns the key of all teams' requests with a part in their prompts.
   *
   * @param part hash of the part's id
   */
  public static RequestKey ofPartOfAllTeams(long part) {
    return new RequestKey("", ~part);
  }

  /** Returns whether this is the key of a part, within a team or for all teams. */
  boolean isOfPart(String partTeam, long part) {
    return equals(ofPart(partTeam, part)) || equals(ofPartOfAllTeams(part));
  }

  /** Orders keys by team, then by hash, so that all daemons list keys in the same order. */
  @Override
  public int compareTo(RequestKey other) {
    int byTeam = team.compareTo(other.team);
    return byTeam == 0 ? Long.compare(content, other.content) : byTeam;
  }

  /**
   * Returns the key as it is written in logs and by operators: the team, a slash, the hash in
   * hexadecimal.
   */
  @Override
  public String toString() {
    return team + "/" + HexFormat.of().toHexDigits(content);
  }
}
