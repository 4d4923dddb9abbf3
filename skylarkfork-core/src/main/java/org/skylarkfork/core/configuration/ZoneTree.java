package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Arranges subscriptions as a tree in each availability zone, so that no daemon serves many
 * subscribers.
 *
 * <p>The first daemons of a zone, by name, subscribe to the control voters; each further daemon
 * subscribes to a daemon that precedes it in the order. While daemons see different members, their
 * subscriptions may even form a cycle. A cycle receives no new lease, so its daemons soon try their
 * next candidate, and each list ends with the control voters.
 */
public final class ZoneTree implements ConfigurationSources {

  /** Number of daemons in a zone that subscribe to the control voters. */
  public static final int ROOTS = 3;

  /** Maximum number of daemons in a zone that have the same parent. */
  public static final int FAN_OUT = 8;

  private final String node;
  private final Supplier<List<String>> voters;
  private final Supplier<List<String>> zone;

  /**
   * Creates the tree as seen by one daemon.
   *
   * @param node name of this daemon
   * @param voters supplies the names of the control voters
   * @param zone supplies the names of the live daemons in this daemon's availability zone
   */
  public ZoneTree(String node, Supplier<List<String>> voters, Supplier<List<String>> zone) {
    this.node = node;
    this.voters = voters;
    this.zone = zone;
  }

  @Override
  public List<String> candidates() {
    List<String> voterNames = voters.get();
    List<String> others = new ArrayList<>(zone.get());
    others.removeAll(voterNames);
    if (!others.contains(node)) {
      others.add(node);
    }
    others.sort(null);
    int position = others.indexOf(node);
    List<String> candidates = new ArrayList<>();
    if (position >= ROOTS) {
      int parent = (position - ROOTS) / FAN_OUT;
      candidates.add(others.get(parent));
      candidates.add(others.get(parent == 0 ? 1 : parent - 1));
    }
    addVotersRotated(voterNames, candidates);
    return candidates;
  }

  private void addVotersRotated(List<String> voterNames, List<String> candidates) {
    int start = Math.floorMod(node.hashCode(), Math.max(1, voterNames.size()));
    for (int index = 0; index < voterNames.size(); index++) {
      String voter = voterNames.get((start + index) % voterNames.size());
      if (!voter.equals(node)) {
        candidates.add(voter);
      }
    }
  }
}
