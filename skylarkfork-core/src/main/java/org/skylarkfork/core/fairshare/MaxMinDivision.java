package org.skylarkfork.core.fairshare;

/**
 * Max-min fair division of a capacity: nobody gets more than its demand, and what one leaves goes
 * to the others in proportion to their weights.
 */
final class MaxMinDivision {

  private MaxMinDivision() {}

  /**
   * Returns the fair level: the share per unit of weight of those whose demand isn't met. Everybody
   * gets the lesser of its demand and the level times its weight, and these shares add up to the
   * capacity.
   *
   * <p>Each pass removes the demands below the present level and raises it. The number of passes is
   * small, since a level that is the mean of the rest leaves few demands below it.
   *
   * @param demands demands, not negative; the array is overwritten
   * @param weights weight of each demand, above 0; the array is overwritten
   * @param count number of demands in the arrays
   * @param capacity capacity to divide, not negative
   * @return the level, or infinity if the capacity meets all demands
   */
  static double level(double[] demands, double[] weights, int count, double capacity) {
    double total = 0;
    double weight = 0;
    for (int index = 0; index < count; index++) {
      total += demands[index];
      weight += weights[index];
    }
    if (total <= capacity) {
      return Double.POSITIVE_INFINITY;
    }
    double left = capacity;
    int unmet = count;
    while (true) {
      double level = left / weight;
      int kept = 0;
      for (int index = 0; index < unmet; index++) {
        if (demands[index] > level * weights[index]) {
          demands[kept] = demands[index];
          weights[kept] = weights[index];
          kept++;
        } else {
          left -= demands[index];
        }
      }
      if (kept == unmet || kept == 0) {
        return level;
      }
      unmet = kept;
      weight = 0;
      for (int index = 0; index < unmet; index++) {
        weight += weights[index];
      }
    }
  }
}
