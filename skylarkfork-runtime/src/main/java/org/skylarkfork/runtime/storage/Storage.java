package org.skylarkfork.runtime.storage;

import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.StorageEffect;

/** Carries out the storage effects and answers each by an event. */
public interface Storage extends AutoCloseable {

  /**
   * Reads what is stored of a group and gives it as a {@code StorageEvent.Recovered}; to be called
   * once for each group, before its first effect.
   *
   * @throws StorageException if the stored data can't be used
   */
  void recover(GroupId group);

  /** Queues an effect of a recovered group; its answer comes as an event. */
  void execute(StorageEffect effect);

  /** Finishes the queued effects and releases the data folder. */
  @Override
  void close();
}
