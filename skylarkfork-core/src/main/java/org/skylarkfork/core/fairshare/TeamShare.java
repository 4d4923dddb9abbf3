package org.skylarkfork.core.fairshare;

/**
 * A team's position relative to the fair level of the engines that it uses.
 *
 * @param share the team's part of the work that all teams were granted recently, from 0 to 1
 * @param level fair level as a part of the engines' capacity; infinity if the capacity meets all
 *     demands
 * @param shift number of ranks by which the team's attempts are moved back, from 0 to {@link
 *     TeamShares#MAX_SHIFT}
 */
record TeamShare(double share, double level, int shift) {

  /** Position of a team while nobody is over a share. */
  static final TeamShare NOT_OVER = new TeamShare(0, Double.POSITIVE_INFINITY, 0);
}
