package org.skylarkfork.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.skylarkfork.core.routing.StableHash;

/**
 * Assigns engines to groups and ranks the groups for a prompt.
 *
 * <p>All entries compute the same result from the same directory without exchanging messages, so
 * prompts with shared parts go to the same group from every entry.
 */
public final class EngineGroups {

  private EngineGroups() {}

  /**
   * Returns the group of an engine, counted from 0.
   *
   * @param engine id of the engine
   * @param groups number of groups, at least 1
   */
  public static int groupOf(String engine, int groups) {
    return Math.floorMod(StableHash.of(engine), groups);
  }

  /**
   * Returns the groups for a prompt, the most preferred first, by weighted rendezvous hashing.
   *
   * <p>Each group receives prompts in proportion to its weight. If a group loses its weight, only
   * the prompts of that group move.
   *
   * @param prompt key that related prompts share
   * @param weights number of engines of each group; groups without engines are omitted
   */
  public static List<Integer> rank(long prompt, int[] weights) {
    List<Integer> ranked = new ArrayList<>();
    double[] scores = new double[weights.length];
    for (int group = 0; group < weights.length; group++) {
      if (weights[group] > 0) {
        ranked.add(group);
        scores[group] = score(prompt, group, weights[group]);
      }
    }
    ranked.sort(Comparator.comparingDouble(group -> -scores[group]));
    return ranked;
  }

  private static double score(long prompt, int group, int weight) {
    long hash = StableHash.of(Long.toHexString(prompt), Integer.toString(group));
    double uniform = ((hash >>> 11) + 0.5) * 0x1.0p-53;
    return -weight / Math.log(uniform);
  }
}
