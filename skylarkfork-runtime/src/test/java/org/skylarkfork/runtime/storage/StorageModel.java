package org.skylarkfork.runtime.storage;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.GroupState;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.command.Members;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.StorageEvent;

/** What a group should hold after each effect; also makes random effects that fit. */
final class StorageModel {

  static final GroupId GROUP = GroupId.CONFIGURATION;

  private final List<StorageEvent.Recovered> states = new ArrayList<>();
  private @Nullable HardState hardState;
  private @Nullable Snapshot snapshot;
  private List<LogEntry> entries = new ArrayList<>();
  private final List<Long> sequences = new ArrayList<>(List.of(0L));
  private long sequence;

  StorageModel() {
    states.add(state());
  }

  /** Returns the state after so many effects. */
  StorageEvent.Recovered stateAfter(int effects) {
    return states.get(effects);
  }

  /** Returns all states, the first before any effect. */
  List<StorageEvent.Recovered> states() {
    return states;
  }

  /** Returns the count of effects up to the write with a sequence number. */
  int effectsUntil(long number) {
    return sequences.indexOf(number);
  }

  /** Makes the next effect and follows it. */
  StorageEffect next(UniformRandomProvider random) {
    if (random.nextInt(8) == 0 && lastIndex() > snapshotIndex()) {
      long index = snapshotIndex() + 1 + random.nextLong(lastIndex() - snapshotIndex());
      return save(index);
    }
    HardState voted = random.nextInt(3) == 0 ? new HardState(sequence + 1, "node", 7) : null;
    long truncateFrom = 0;
    if (random.nextInt(5) == 0 && lastIndex() > snapshotIndex()) {
      truncateFrom = snapshotIndex() + 1 + random.nextLong(lastIndex() - snapshotIndex());
    }
    return persist(voted, truncateFrom, random.nextInt(4));
  }

  StorageEffect save(long index) {
    snapshot = new Snapshot(index, 1, Instant.EPOCH, Members.NONE, new GroupState.Empty());
    entries = new ArrayList<>(entries.stream().filter(entry -> entry.index() > index).toList());
    states.add(state());
    sequences.add(sequence);
    return new StorageEffect.SaveSnapshot(GROUP, snapshot);
  }

  StorageEffect.Persist persist(@Nullable HardState voted, long truncateFrom, int count) {
    sequence++;
    if (voted != null) {
      hardState = voted;
    }
    if (truncateFrom > 0) {
      entries.removeIf(entry -> entry.index() >= truncateFrom);
    }
    List<LogEntry> added = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      LogEntry entry =
          new LogEntry(
              lastIndex() + 1,
              sequence,
              Instant.ofEpochSecond(sequence),
              new GroupCommand.AdmitMember("node-" + sequence));
      entries.add(entry);
      added.add(entry);
    }
    states.add(state());
    sequences.add(sequence);
    return new StorageEffect.Persist(GROUP, sequence, voted, truncateFrom, added);
  }

  long lastIndex() {
    return entries.isEmpty() ? snapshotIndex() : entries.get(entries.size() - 1).index();
  }

  private long snapshotIndex() {
    return snapshot == null ? 0 : snapshot.index();
  }

  private StorageEvent.Recovered state() {
    return new StorageEvent.Recovered(GROUP, hardState, snapshot, entries);
  }
}
