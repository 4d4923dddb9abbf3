package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;

/** The upstreams that a control VM has heard of, with a number for each change. */
final class UpstreamRegistry {

  private static final int MAX_SUPERSEDED = 4096;

  private final RelayTimes times;
  private final Map<String, Entry> byId = new LinkedHashMap<>();
  private final Map<String, String> idByAddress = new HashMap<>();
  private final Set<String> superseded = new HashSet<>();
  private long sequence;

  UpstreamRegistry(RelayTimes times) {
    this.times = times;
  }

  /**
   * Takes note of a heartbeat.
   *
   * <p>A heartbeat that was held up can come after its sender has crashed and another upstream has
   * taken the address. Believed, it would send that upstream's address the work of another service,
   * so an id that lost its address never gets it back.
   */
  void heard(UpstreamInstance instance, boolean leaving, Instant now) {
    if (superseded.contains(instance.id())) {
      return;
    }
    Entry known = byId.get(instance.id());
    if (known != null && known.instance().sequence() >= instance.sequence()) {
      return;
    }
    supersede(instance);
    boolean leaves = leaving || known != null && known.condition == UpstreamCondition.LEAVING;
    UpstreamCondition condition = leaves ? UpstreamCondition.LEAVING : UpstreamCondition.READY;
    Entry entry = known == null ? new Entry() : known;
    if (known == null || known.condition != condition) {
      entry.changedAt = ++sequence;
    }
    entry.instance = instance;
    entry.lastHeard = now;
    entry.condition = condition;
    byId.put(instance.id(), entry);
  }

  private void supersede(UpstreamInstance instance) {
    String older = idByAddress.put(instance.address(), instance.id());
    if (older == null || older.equals(instance.id())) {
      return;
    }
    if (superseded.size() < MAX_SUPERSEDED) {
      superseded.add(older);
    }
    leaves(older);
  }

  /** Takes note that an upstream gets no new work any more. */
  void leaves(String id) {
    Entry entry = byId.get(id);
    if (entry != null && entry.condition != UpstreamCondition.LEAVING) {
      entry.condition = UpstreamCondition.LEAVING;
      entry.changedAt = ++sequence;
    }
  }

  /** Marks upstreams that fell silent and forgets those that are long gone. */
  void tick(Instant now) {
    Iterator<Entry> entries = byId.values().iterator();
    while (entries.hasNext()) {
      Entry entry = entries.next();
      if (now.isAfter(entry.lastHeard.plus(times.upstreamForgotten()))) {
        idByAddress.remove(entry.instance().address(), entry.instance().id());
        entries.remove();
      } else if (entry.condition == UpstreamCondition.READY
          && now.isAfter(entry.lastHeard.plus(times.upstreamSilence()))) {
        entry.condition = UpstreamCondition.SILENT;
        entry.changedAt = ++sequence;
      }
    }
  }

  long sequence() {
    return sequence;
  }

  List<UpstreamStatus> all() {
    return statuses(0);
  }

  private List<UpstreamStatus> statuses(long after) {
    List<Entry> changed = new ArrayList<>();
    for (Entry entry : byId.values()) {
      if (entry.changedAt > after) {
        changed.add(entry);
      }
    }
    changed.sort(Comparator.comparingLong(entry -> entry.changedAt));
    return changed.stream()
        .map(entry -> new UpstreamStatus(entry.instance(), entry.condition))
        .toList();
  }

  /** Returns what an entry lacks that has this much of the directory of the epoch. */
  DirectoryChanges changes(long epoch, boolean settled, long knownEpoch, long knownSequence) {
    boolean whole = knownEpoch != epoch;
    return new DirectoryChanges(
        epoch, sequence, whole, settled, statuses(whole ? 0 : knownSequence));
  }

  private static final class Entry {
    private @Nullable UpstreamInstance instance;
    private Instant lastHeard = Instant.EPOCH;
    private UpstreamCondition condition = UpstreamCondition.READY;
    private long changedAt;

    private UpstreamInstance instance() {
      if (instance == null) {
        throw new IllegalStateException("an entry is kept only once it was heard");
      }
      return instance;
    }
  }
}
