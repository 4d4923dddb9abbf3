package org.skylarkfork.core.crash;

import java.util.HexFormat;

/**
 * What makes two requests the same: a caller that sends its request again sends both alike, under a
 * new id and often to another entry.
 *
 * <p>The team is compared as it is, so that no team can make a request that is taken for another
 * team's.
 *
 * @param team name of the caller's team; empty for a request without a key
 * @param content hash of its method, host, path and body
 */
public record RequestKey(String team, long content) implements Comparable<RequestKey> {

  /** Orders keys by team, then by hash, for lists that all daemons hold alike. */
  @Override
  public int compareTo(RequestKey other) {
    int byTeam = team.compareTo(other.team);
    return byTeam == 0 ? Long.compare(content, other.content) : byTeam;
  }

  /** Returns the key as logs and operators write it: the team, a slash, the hash in hexadecimal. */
  @Override
  public String toString() {
    return team + "/" + HexFormat.of().toHexDigits(content);
  }
}
