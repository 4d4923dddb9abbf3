package org.skylarkfork.runtime.storage;

import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.StorageEffect;

/** Executes the storage effects and reports the results as events. */
public interface Storage extends AutoCloseable {

  /**
   * Reads the stored state of a group and reports it as a {@code StorageEvent.Recovered}, after a
   * {@code StorageEvent.LogSetAside} if a damaged log was ever set aside. Must be called once for
   * each group, before its first effect.
   *
   * @throws StorageException if the stored data can't be used
   */
  void recover(GroupId group);

  /** Queues an effect of a recovered group; the result is reported as an event. */
  void execute(StorageEffect effect);

  /** Executes the queued effects and releases the data folder. */
  @Override
  void close();
}
