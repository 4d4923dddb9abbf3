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
   * <p>Returns without an event if the disk refuses an operation; the event follows once the disk
   * accepts it. If the stored data turns out to be unusable only then, a {@code
   * StorageEvent.Failed} follows instead.
   *
   * @throws StorageException if the stored data can't be used
   */
  void recover(GroupId group);

  /** Queues an effect of a recovered group; the result is reported as an event. */
  void execute(StorageEffect effect);

  /** Executes the queued effects, drops those that the disk refuses, and releases the folder. */
  @Override
  void close();
}
