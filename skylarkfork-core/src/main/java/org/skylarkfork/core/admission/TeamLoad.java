package org.skylarkfork.core.admission;

/**
 * A team's load on this entry.
 *
 * @param running number of running requests
 * @param waiting number of queued requests
 * @param submittedRequests number of requests submitted since the start, refused ones included
 * @param submittedTokens estimated tokens of the submitted requests
 */
public record TeamLoad(int running, int waiting, long submittedRequests, long submittedTokens) {

  /** The load of a team that submitted no request. */
  public static final TeamLoad NONE = new TeamLoad(0, 0, 0, 0);

  /** Returns whether requests run or wait. */
  boolean active() {
    return running + waiting > 0;
  }
}
