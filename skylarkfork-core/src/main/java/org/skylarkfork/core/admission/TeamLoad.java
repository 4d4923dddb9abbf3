package org.skylarkfork.core.admission;

/**
 * What a team asks of this entry.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param submittedRequests requests that came since the start, refused ones included
 * @param submittedTokens tokens that they asked for
 */
public record TeamLoad(int running, int waiting, long submittedRequests, long submittedTokens) {

  /** The load of a team that never asked. */
  public static final TeamLoad NONE = new TeamLoad(0, 0, 0, 0);

  /** Returns whether requests run or wait. */
  boolean active() {
    return running + waiting > 0;
  }
}
