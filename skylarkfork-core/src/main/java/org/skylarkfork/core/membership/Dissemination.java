package org.skylarkfork.core.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Queue of member updates to gossip, each a bounded number of times. */
final class Dissemination {

  private static final int RETRANSMIT_FACTOR = 3;

  private final Map<String, Item> items = new LinkedHashMap<>();
  private final int updatesPerMessage;

  Dissemination(int updatesPerMessage) {
    this.updatesPerMessage = updatesPerMessage;
  }

  boolean isEmpty() {
    return items.isEmpty();
  }

  /** Adds an update, which replaces an older update of the same member. */
  void add(MemberUpdate update) {
    items.put(update.name(), new Item(update));
  }

  /**
   * Selects the updates for one message, the least transmitted first, and counts their
   * transmission.
   *
   * @param first name of a member whose update goes first, such as the receiver's own suspicion, or
   *     null
   * @param members number of live members; the number of transmissions grows with its logarithm
   */
  List<MemberUpdate> take(@Nullable String first, int members) {
    int maxTransmissions = RETRANSMIT_FACTOR * (Long.SIZE - Long.numberOfLeadingZeros(members));
    List<Item> chosen =
        items.values().stream()
            .sorted(Comparator.comparingInt((Item item) -> item.rank(first)))
            .limit(updatesPerMessage)
            .toList();
    List<MemberUpdate> updates = new ArrayList<>(chosen.size());
    Set<String> finished = new TreeSet<>();
    for (Item item : chosen) {
      updates.add(item.update);
      item.transmissions++;
      if (item.transmissions >= maxTransmissions) {
        finished.add(item.update.name());
      }
    }
    items.keySet().removeAll(finished);
    return updates;
  }

  private static final class Item {
    private final MemberUpdate update;
    private int transmissions;

    private Item(MemberUpdate update) {
      this.update = update;
    }

    private int rank(@Nullable String first) {
      return update.name().equals(first) ? -1 : transmissions;
    }
  }
}
