package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
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
  private final Supplier<GroupLog> logs;
  private final SetAsideLogs setAside;
  private final Consumer<StorageEvent> events;
  private final DiskRetry retry;
  private final Deque<StorageEffect> pending = new ArrayDeque<>();
  private @Nullable CompletableFuture<Void> recovery;
  private @Nullable GroupLog log;
  private boolean failed;

  /**
   * Creates the storage of a group, whose log isn't open yet.
   *
   * @param group the group
   * @param logs makes a log, which isn't recovered, for each attempt to recover it
   * @param setAside takes a log that is damaged
   * @param events receives the results
   */
  GroupStorage(
      GroupId group,
      Supplier<GroupLog> logs,
      SetAsideLogs setAside,
      Consumer<StorageEvent> events) {
    this.group = group;
    this.logs = logs;
    this.setAside = setAside;
    this.events = events;
    this.retry = new DiskRetry("operations of " + group);
  }

  /**
   * Requests the recovery of the log; {@link #run} executes it.
   *
   * @param firstAttempt completes after the first attempt: exceptionally if the stored data can't
   *     be used, otherwise normally, also if the disk refused the attempt
   */
  void recover(CompletableFuture<Void> firstAttempt) {
    recovery = firstAttempt;
  }

  /** Adds an effect; {@link #run} executes it. */
  void add(StorageEffect effect) {
    if (!failed) {
      pending.addLast(effect);
    }
  }

  /** Returns the time in nanoseconds until {@link #run} can continue, or the maximum if never. */
  long pauseLeft(long now) {
    boolean idle = failed || (recovery == null && pending.isEmpty());
    return idle ? Long.MAX_VALUE : retry.pauseLeft(now);
  }

  /** Recovers the log if requested, and executes the effects until the disk refuses one. */
  void run(long now) {
    if (failed || retry.pauseLeft(now) > 0) {
      return;
    }
    boolean accepted = recovery == null || recoverLog(recovery, now);
    while (accepted && !pending.isEmpty()) {
      accepted = executeNext(now);
    }
  }

  /** Marks the last record as synced; under load the next record proves that instead. */
  void markSynced() {
    if (!failed && log != null && pending.isEmpty()) {
      log.markSynced();
    }
  }

  private boolean recoverLog(CompletableFuture<Void> firstAttempt, long now) {
    GroupLog opened = logs.get();
    try {
      final boolean hasLogAside = setAside.contains(group);
      final StorageEvent.Recovered recovered = opened.recover();
      log = opened;
      recovery = null;
      retry.succeeded(now);
      report(recovered, hasLogAside);
      firstAttempt.complete(null);
      return true;
    } catch (IOException refused) {
      retry.failed(refused, now);
      closeRefused(opened);
      firstAttempt.complete(null);
    } catch (StorageException e) {
      closeRefused(opened);
      return e.kind() == StorageException.Kind.CORRUPT
          ? recoverWithoutLog(firstAttempt, e, now)
          : failRecovery(e);
    } catch (RuntimeException e) {
      closeRefused(opened);
      fail(e);
    }
    return false;
  }

  private boolean failRecovery(StorageException failure) {
    fail(failure);
    return false;
  }

  /**
   * Sets a damaged log aside and recovers an empty one, so that the replica joins its group again
   * as if it had lost its disk; the damage must not end the process, which would find the same log
   * at each start.
   */
  private boolean recoverWithoutLog(
      CompletableFuture<Void> firstAttempt, StorageException damage, long now) {
    try {
      setAside.setAside(group, String.valueOf(damage.getMessage()));
    } catch (IOException refused) {
      retry.failed(refused, now);
      firstAttempt.complete(null);
      return false;
    }
    return recoverLog(firstAttempt, now);
  }

  private void report(StorageEvent.Recovered recovered, boolean hasLogAside) {
    Logger.info("storage: {} recovered with {} entries", group, recovered.entries().size());
    if (hasLogAside) {
      logReplicaWithoutLog(recovered);
      events.accept(new StorageEvent.LogSetAside(group));
    }
    events.accept(recovered);
  }

  private void logReplicaWithoutLog(StorageEvent.Recovered recovered) {
    if (recovered.entries().isEmpty() && recovered.snapshot() == null) {
      Logger.error(
          "storage: {} has no log since it was damaged; it waits for a leader among the other"
              + " voters and never founds the group; {} has the damaged log",
          group,
          setAside.folder(group));
    }
  }

  private void closeRefused(GroupLog opened) {
    try {
      opened.close();
    } catch (IOException e) {
      Logger.warn(e, "storage: a file of {} wasn't closed cleanly", group);
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

  /**
   * Stops the group permanently, since its data can't be used or continued. Does nothing if it is
   * stopped. The failure is reported to the caller of the recovery if that still waits, otherwise
   * as an event.
   */
  void fail(RuntimeException failure) {
    if (failed) {
      return;
    }
    failed = true;
    pending.clear();
    if (recovery != null && recovery.completeExceptionally(failure)) {
      return;
    }
    Logger.error(failure, "storage: {} stopped, since its data can't be used or continued", group);
    events.accept(new StorageEvent.Failed(group, String.valueOf(failure.getMessage())));
  }

  /** Closes the log; pending effects are dropped. */
  void close() throws IOException {
    if (!pending.isEmpty()) {
      Logger.warn("storage: dropped {} refused effects of {}", pending.size(), group);
    }
    if (log != null) {
      log.close();
    }
  }
}
