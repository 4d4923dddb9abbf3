package org.skylarkfork.core.crash;

import java.util.HexFormat;

/**
 * Identifies equal requests: a caller that resends a request sends the same content, under a new id
 * and often to another entry.
 *
 * <p>The team's name is compared itself rather than hashed, so that no team can construct a request
 * that has the key of another team's request.
 *
 * @param team name of the caller's team; empty for a request without a key
 * @param content hash of its method, host, path and body
 */
public record RequestKey(String team, long content) implements Comparable<RequestKey> {

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
