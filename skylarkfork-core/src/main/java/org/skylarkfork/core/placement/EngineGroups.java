package org.skylarkfork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.skylarkfork.core.routing.StableHash;

/**
 * Which engines belong together, and which of their groups reads a prompt.
 *
 * <p>All entries come to the same result from the same directory, so that nothing need be told: a
 * prompt that several requests share is read in one group wherever their callers connect.
 */
public final class EngineGroups {

  private EngineGroups() {}

  /**
   * Returns the group of an engine, from 0 on.
   *
   * @param engine id of the engine
   * @param groups how many groups there are, at least 1
   */
  public static int groupOf(String engine, int groups) {
    return Math.floorMod(StableHash.of(engine), groups);
  }

  /**
   * Returns the groups for a prompt, its own first, by weighted rendezvous hashing.
   *
   * <p>A group gets prompts in proportion to its weight, and if one group loses its weight only the
   * prompts of that one move.
   *
   * @param prompt what the requests of one group have in common
   * @param weights engines of each group; a group with none is left out
   */
  public static List<Integer> rank(long prompt, int[] weights) {
    List<Integer> order = new ArrayList<>();
    double[] scores = new double[weights.length];
    for (int group = 0; group < weights.length; group++) {
      if (weights[group] > 0) {
        order.add(group);
        scores[group] = score(prompt, group, weights[group]);
      }
    }
    order.sort(Comparator.comparingDouble(group -> -scores[group]));
    return order;
  }

  private static double score(long prompt, int group, int weight) {
    long hash = StableHash.of(Long.toHexString(prompt), Integer.toString(group));
    double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
    return -weight / Math.log(uniform);
  }
}
