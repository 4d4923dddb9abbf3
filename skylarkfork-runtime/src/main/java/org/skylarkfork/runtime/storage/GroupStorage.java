package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.StorageEvent;
import org.tinylog.Logger;

/**
 * Executes the storage effects of one group in order; confined to the storage's thread.
 *
 * <p>An effect that the disk refuses is tried again until the disk accepts it, and those after it
 * wait. Nothing is acknowledged in the meantime, so the replica behaves like one with a stalled
 * disk: it doesn't lead, and it participates again without intervention.
 */
final class GroupStorage {

  private static final int MAX_WRITES_PER_RECORD = 512;
  private static final int MAX_ENTRIES_PER_RECORD = 4096;

  private final GroupId group;
  private final Consumer<StorageEvent> events;
  private final DiskRetry retry;
  private final Deque<StorageEffect> pending = new ArrayDeque<>();
  private @Nullable GroupLog log;
  private boolean failed;

  /**
   * Creates the storage of a group, whose log isn't open yet.
   *
   * @param group the group
   * @param events receives the results
   */
  GroupStorage(GroupId group, Consumer<StorageEvent> events) {
    this.group = group;
    this.events = events;
    this.retry = new DiskRetry("writes of " + group);
  }

  /** Uses a log that has been recovered. */
  void open(GroupLog recovered) {
    log = recovered;
  }

  /** Adds an effect; {@link #run} executes it. */
  void add(StorageEffect effect) {
    if (!failed) {
      pending.addLast(effect);
    }
  }

  /** Returns the number of effects that aren't executed yet. */
  int pendingEffects() {
    return pending.size();
  }

  /** Returns the time in nanoseconds until {@link #run} can continue; no effects, no limit. */
  long pauseLeft(long now) {
    return pending.isEmpty() ? Long.MAX_VALUE : retry.pauseLeft(now);
  }

  /** Executes the pending effects until the disk refuses one. */
  void run(long now) {
    boolean accepted = retry.pauseLeft(now) == 0;
    while (accepted && !pending.isEmpty()) {
      accepted = executeNext(now);
    }
  }

  private boolean executeNext(long now) {
    StorageEvent result;
    try {
      result =
          pending.getFirst() instanceof StorageEffect.SaveSnapshot save ? save(save) : append();
    } catch (IOException refused) {
      retry.failed(refused, now);
      return false;
    } catch (RuntimeException e) {
      fail(e);
      return false;
    }
    retry.succeeded(now);
    events.accept(result);
    return true;
  }

  private StorageEvent save(StorageEffect.SaveSnapshot save) throws IOException {
    openLog().save(save.snapshot());
    pending.removeFirst();
    return new StorageEvent.SnapshotSaved(group, save.snapshot().index());
  }

  /** Appends the next writes as one record, so that they need only one sync. */
  private StorageEvent append() throws IOException {
    List<LogWrite> writes = new ArrayList<>();
    long sequence = 0;
    int entries = 0;
    for (StorageEffect effect : pending) {
      if (!(effect instanceof StorageEffect.Persist persist)
          || writes.size() == MAX_WRITES_PER_RECORD
          || entries >= MAX_ENTRIES_PER_RECORD) {
        break;
      }
      writes.add(LogWrite.of(persist));
      entries += persist.entries().size();
      sequence = persist.sequence();
    }
    openLog().append(writes);
    writes.forEach(write -> pending.removeFirst());
    return new StorageEvent.Persisted(group, sequence);
  }

  private GroupLog openLog() {
    if (log == null) {
      throw new IllegalStateException(group + " was not recovered before its first write");
    }
    return log;
  }

  /** Stops the group permanently, since its log can't be continued. */
  private void fail(RuntimeException failure) {
    failed = true;
    pending.clear();
    Logger.error(failure, "storage: {} stopped, since its log can't be continued", group);
    events.accept(new StorageEvent.Failed(group, String.valueOf(failure.getMessage())));
  }

  /** Closes the log; pending effects are dropped. */
  void close() throws IOException {
    if (!pending.isEmpty()) {
      Logger.warn("storage: dropped {} refused writes of {}", pending.size(), group);
    }
    if (log != null) {
      log.close();
    }
  }
}
