package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * Spreads subscriptions over a tree in each availability zone, so that no daemon serves many.
 *
 * <p>The first daemons of a zone, by name, subscribe to the control voters; each further one to a
 * daemon before it in the order. Daemons may see different members for a while and so even form a
 * ring, but a ring gets no fresh lease, so its daemons soon try their next candidate, and control
 * voters end each list.
 */
public final class ZoneTree implements ConfigurationSources {

  /** Daemons of a zone that subscribe to the control voters. */
  public static final int ROOTS = 3;

  /** Daemons that subscribe to one of their zone. */
  public static final int FAN_OUT = 8;

  private final String node;
  private final Supplier<List<String>> voters;
  private final Supplier<List<String>> zone;

  /**
   * Makes the tree of one daemon.
   *
   * @param node name of this daemon
   * @param voters gives the names of the control voters
   * @param zone gives the names of the live daemons of this daemon's availability zone
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
