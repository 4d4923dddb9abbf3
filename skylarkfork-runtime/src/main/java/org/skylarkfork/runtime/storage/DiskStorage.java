package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.packed.Packing;
import org.tinylog.Logger;

/**
 * Stores the logs and snapshots of the groups in a data folder.
 *
 * <p>A log that is damaged at the start is set aside, see {@link SetAsideLogs}, and its replica
 * starts with an empty one.
 *
 * <p>One thread does all writes. The thread takes all queued effects, writes those of each group as
 * one record, syncs once per group and then acknowledges the group's last sequence number. A failed
 * write or sync stops the group permanently: after a failed sync the operating system may have
 * dropped the unwritten pages, so a second sync could succeed although the bytes aren't on the
 * disk.
 */
public final class DiskStorage implements Storage {

  private static final int MAX_EFFECTS_PER_BATCH = 512;
  private static final int MAX_ENTRIES_PER_RECORD = 4096;

  /** Time between two attempts on a full disk: 0.1 s, short compared with an election. */
  private static final long DISK_FULL_RETRY_NANOS = 100_000_000L;

  private final StorageSettings settings;
  private final BinaryCodec codec;
  private final Disk disk;
  private final Consumer<Event> events;
  private final DataFolder folder;
  private final SetAsideLogs setAside;
  private final BlockingQueue<Job> queue = new LinkedBlockingQueue<>();
  private final Map<GroupId, GroupLog> logs = new HashMap<>();
  private final Set<GroupId> failed = new HashSet<>();
  private final LongAdder syncs = new LongAdder();
  private final LongAdder logsSetAside = new LongAdder();
  private final Thread thread;
  private volatile boolean closing;

  /**
   * Locks the data folder and starts the thread.
   *
   * @param settings data folder, segment size and instance id
   * @param codec encodes and decodes the records
   * @param disk file operations
   * @param events receives the results, on the storage's thread
   * @throws StorageException if the folder is missing, locked or can't be read
   */
  public DiskStorage(
      StorageSettings settings, BinaryCodec codec, Disk disk, Consumer<Event> events) {
    this.settings = settings;
    this.codec = codec;
    this.disk = disk;
    this.events = events;
    this.setAside = new SetAsideLogs(settings.folder(), disk);
    try {
      folder = new DataFolder(settings, setAside, disk);
    } catch (IOException e) {
      throw inputOutput(settings.folder() + ": " + e, e);
    }
    thread = new Thread(this::run, "storage");
    thread.start();
  }

  /** Returns the hand-written codecs of the log records. */
  public static List<Packing<?>> recordPackings() {
    return List.of(new LogWritesPacking(), new SegmentStartPacking());
  }

  /** Returns the id of the data folder; a folder that was wiped has a new id. */
  public String instanceId() {
    return folder.instanceId();
  }

  /** Returns whether the data folder had neither an id nor a log when the storage opened it. */
  public boolean firstStart() {
    return folder.firstStart();
  }

  /** Returns the number of syncs of logs and snapshots so far. */
  public long syncs() {
    return syncs.sum();
  }

  /** Returns the number of recovered groups whose damaged log is kept in the data folder. */
  public long logsSetAside() {
    return logsSetAside.sum();
  }

  /** Returns the number of jobs in the queue. */
  public int queuedEffects() {
    return queue.size();
  }

  @Override
  public void recover(GroupId group) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    queue.add(new Recover(group, done));
    try {
      done.join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof StorageException typed) {
        throw typed;
      }
      throw inputOutput("recovery of " + group + ": " + e.getCause(), e.getCause());
    }
  }

  @Override
  public void execute(StorageEffect effect) {
    queue.add(new Write(effect));
  }

  @Override
  public void close() {
    closing = true;
    queue.add(new Stop());
    boolean interrupted = false;
    while (thread.isAlive()) {
      try {
        thread.join();
      } catch (InterruptedException e) {
        interrupted = true;
      }
    }
    if (interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    List<Job> jobs = new ArrayList<>();
    boolean stopped = false;
    while (!stopped) {
      jobs.clear();
      try {
        jobs.add(queue.take());
      } catch (InterruptedException e) {
        Logger.warn("storage: ignored an interrupt; close() ends the thread");
        continue;
      }
      queue.drainTo(jobs, MAX_EFFECTS_PER_BATCH);
      stopped = runJobs(jobs);
      if (queue.isEmpty()) {
        markSynced();
      }
    }
    closeFiles();
  }

  /** Marks the last records as synced; under load the next record proves that instead. */
  private void markSynced() {
    for (Map.Entry<GroupId, GroupLog> log : logs.entrySet()) {
      if (!failed.contains(log.getKey())) {
        log.getValue().markSynced();
      }
    }
  }

  /** Runs jobs in order and returns whether they contained a stop. */
  private boolean runJobs(List<Job> jobs) {
    Map<GroupId, List<StorageEffect.Persist>> batches = new LinkedHashMap<>();
    boolean stopped = false;
    for (Job job : jobs) {
      if (job instanceof Write write && write.effect() instanceof StorageEffect.Persist persist) {
        batches.computeIfAbsent(persist.group(), group -> new ArrayList<>()).add(persist);
      } else if (job instanceof Write write
          && write.effect() instanceof StorageEffect.SaveSnapshot save) {
        writeBatch(save.group(), batches.remove(save.group()));
        saveSnapshot(save);
      } else if (job instanceof Recover recover) {
        recoverLog(recover);
      } else {
        stopped = true;
      }
    }
    batches.forEach(this::writeBatch);
    return stopped;
  }

  private void recoverLog(Recover recover) {
    try {
      StorageEvent.Recovered recovered = recoverOrSetAside(recover.group());
      Logger.info(
          "storage: {} recovered with {} entries", recover.group(), recovered.entries().size());
      if (setAside.contains(recover.group())) {
        logsSetAside.increment();
        logReplicaWithoutLog(recovered);
        events.accept(new StorageEvent.LogSetAside(recover.group()));
      }
      events.accept(recovered);
      recover.done().complete(null);
    } catch (IOException | RuntimeException e) {
      recover.done().completeExceptionally(e);
    }
  }

  /**
   * Recovers a log. One that is damaged is set aside and replaced by an empty one, so that the
   * replica joins its group again as if it had lost its disk; it must not end the process, which
   * would find the same log at each start.
   */
  private StorageEvent.Recovered recoverOrSetAside(GroupId group) throws IOException {
    GroupLog log = new GroupLog(group, settings, codec, disk);
    try {
      StorageEvent.Recovered recovered = log.recover();
      logs.put(group, log);
      return recovered;
    } catch (StorageException e) {
      if (e.kind() != StorageException.Kind.CORRUPT) {
        throw e;
      }
      setAside.setAside(group, String.valueOf(e.getMessage()));
    }
    GroupLog empty = new GroupLog(group, settings, codec, disk);
    StorageEvent.Recovered recovered = empty.recover();
    logs.put(group, empty);
    return recovered;
  }

  private void logReplicaWithoutLog(StorageEvent.Recovered recovered) {
    boolean empty = recovered.entries().isEmpty() && recovered.snapshot() == null;
    if (empty) {
      Logger.error(
          "storage: {} has no log since it was damaged; it waits for a leader among the other"
              + " voters and never founds the group; {} has the damaged log",
          recovered.group(),
          setAside.folder(recovered.group()));
    }
  }

  private void writeBatch(GroupId group, @Nullable List<StorageEffect.Persist> batch) {
    if (batch == null) {
      return;
    }
    List<LogWrite> writes = new ArrayList<>();
    int entries = 0;
    for (StorageEffect.Persist persist : batch) {
      writes.add(LogWrite.of(persist));
      entries += persist.entries().size();
      if (entries >= MAX_ENTRIES_PER_RECORD) {
        append(group, List.copyOf(writes), persist.sequence());
        writes.clear();
        entries = 0;
      }
    }
    if (!writes.isEmpty()) {
      append(group, writes, batch.get(batch.size() - 1).sequence());
    }
  }

  private void append(GroupId group, List<LogWrite> writes, long sequence) {
    executeOrFail(
        group,
        log -> {
          log.append(writes);
          return new StorageEvent.Persisted(group, sequence);
        });
  }

  private void saveSnapshot(StorageEffect.SaveSnapshot save) {
    executeOrFail(
        save.group(),
        log -> {
          log.save(save.snapshot());
          return new StorageEvent.SnapshotSaved(save.group(), save.snapshot().index());
        });
  }

  private void executeOrFail(GroupId group, LogOperation operation) {
    if (failed.contains(group)) {
      return;
    }
    StorageEvent result;
    try {
      GroupLog log = logs.get(group);
      if (log == null) {
        throw new IOException(group + " was not recovered before its first write");
      }
      result = retryWhileDiskFull(group, log, operation);
      syncs.increment();
    } catch (IOException | RuntimeException e) {
      failed.add(group);
      Logger.error(e, "storage: {} stopped after a failed write", group);
      result = new StorageEvent.Failed(group, String.valueOf(e.getMessage()));
    }
    events.accept(result);
  }

  /**
   * Retries an operation until the disk has space.
   *
   * <p>The storage acknowledges nothing in the meantime, so the replica behaves like one with a
   * stalled disk: it doesn't lead, and it participates again without intervention once space is
   * free.
   */
  private StorageEvent retryWhileDiskFull(GroupId group, GroupLog log, LogOperation operation)
      throws IOException {
    boolean logged = false;
    while (true) {
      try {
        return operation.run(log);
      } catch (DiskFullException full) {
        if (closing) {
          throw full;
        }
        if (!logged) {
          Logger.warn(
              "storage: the disk is full; writes of {} are retried until space is free", group);
          logged = true;
        }
        LockSupport.parkNanos(DISK_FULL_RETRY_NANOS);
      }
    }
  }

  private void closeFiles() {
    try {
      for (GroupLog log : logs.values()) {
        log.close();
      }
      folder.close();
    } catch (IOException e) {
      Logger.warn(e, "storage: the data folder was not closed cleanly");
    }
  }

  private static StorageException inputOutput(String detail, Throwable cause) {
    return new StorageException(StorageException.Kind.INPUT_OUTPUT, detail, cause);
  }

  private sealed interface Job {}

  private record Recover(GroupId group, CompletableFuture<Void> done) implements Job {}

  private record Write(StorageEffect effect) implements Job {}

  private record Stop() implements Job {}

  private interface LogOperation {
    StorageEvent run(GroupLog log) throws IOException;
  }
}
