package org.skylarkfork.runtime.storage;

import java.util.List;
import java.util.function.Consumer;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;

/**
 * The storage of a daemon without a disk: each group starts empty and nothing lasts.
 *
 * <p>A voter that forgets its vote in a restart can vote twice in one term, so two leaders could
 * accept changes. Where writes aren't allowed they are answered by {@code Failed}, which stops the
 * group before it promises anything.
 */
public final class MemoryStorage implements Storage {

  private final boolean writesAllowed;
  private final Consumer<Event> events;

  /**
   * Creates the storage.
   *
   * @param writesAllowed whether writes are answered as if they were synced, for tests and learners
   * @param events takes the answers, on the caller's thread
   */
  public MemoryStorage(boolean writesAllowed, Consumer<Event> events) {
    this.writesAllowed = writesAllowed;
    this.events = events;
  }

  @Override
  public void recover(GroupId group) {
    events.accept(new StorageEvent.Recovered(group, null, null, List.of()));
  }

  @Override
  public void execute(StorageEffect effect) {
    if (effect instanceof StorageEffect.Persist persist) {
      report(persist.group(), new StorageEvent.Persisted(persist.group(), persist.sequence()));
    } else if (effect instanceof StorageEffect.SaveSnapshot save) {
      report(save.group(), new StorageEvent.SnapshotSaved(save.group(), save.snapshot().index()));
    }
  }

  private void report(GroupId group, StorageEvent success) {
    if (writesAllowed) {
      events.accept(success);
      return;
    }
    events.accept(
        new StorageEvent.Failed(
            group, "this daemon has no data folder; give it one or make it no voter"));
  }

  @Override
  public void close() {}
}
