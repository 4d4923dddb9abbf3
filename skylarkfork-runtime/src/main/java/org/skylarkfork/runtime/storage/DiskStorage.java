package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.packed.Packing;
import org.skylarkfork.runtime.startup.EssentialThread;
import org.tinylog.Logger;

/**
 * Stores the logs and snapshots of the groups in a data folder.
 *
 * <p>A log that is damaged at the start is set aside, see {@link SetAsideLogs}, and its replica
 * starts with an empty one.
 *
 * <p>One thread does all writes. The thread takes all queued effects, writes those of each group as
 * one record, syncs once per group and then acknowledges the group's last sequence number. What the
 * disk refuses is retried until the disk accepts it; other groups go on in the meantime.
 */
public final class DiskStorage implements Storage {

  private static final int MAX_JOBS_PER_BATCH = 512;

  private final StorageSettings settings;
  private final BinaryCodec codec;
  private final Disk disk;
  private final Consumer<Event> events;
  private final SetAsideLogs setAside;
  private final DiskRetry folderRetry;
  private final long openingSince = System.nanoTime();
  private final CompletableFuture<Void> firstAttempt = new CompletableFuture<>();
  private final BlockingQueue<Job> queue = new LinkedBlockingQueue<>();
  private final Map<GroupId, GroupStorage> groups = new HashMap<>();
  private final LongAdder syncs = new LongAdder();
  private final LongAdder logsSetAside = new LongAdder();
  private final Thread thread;
  private volatile @Nullable DataFolder folder;
  private @Nullable RuntimeException folderFailure;

  /**
   * Starts the thread and opens the data folder.
   *
   * <p>Returns as well if the disk refuses an operation: the thread then opens the folder once the
   * disk accepts it, and executes the effects after that. Waits for a folder that another process
   * uses, up to the timeout of the settings.
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
    this.folderRetry = new DiskRetry("the start with " + settings.folder());
    this.setAside = new SetAsideLogs(settings.folder(), disk);
    thread = new EssentialThread(this::run, "storage");
    thread.start();
    try {
      join(firstAttempt, "start with " + settings.folder());
    } catch (StorageException e) {
      close();
      throw e;
    }
  }

  /** Returns the hand-written codecs of the log records. */
  public static List<Packing<?>> recordPackings() {
    return List.of(new LogWritesPacking(), new SegmentStartPacking());
  }

  /**
   * Returns the id of the data folder; a folder that was wiped has a new id.
   *
   * @throws IllegalStateException if the disk has refused to open the folder so far
   */
  public String instanceId() {
    return openFolder().instanceId();
  }

  /**
   * Returns whether the data folder had neither an id nor a log when the storage opened it.
   *
   * @throws IllegalStateException if the disk has refused to open the folder so far
   */
  public boolean firstStart() {
    return openFolder().firstStart();
  }

  private DataFolder openFolder() {
    DataFolder opened = folder;
    if (opened == null) {
      throw new IllegalStateException(settings.folder() + " isn't open; wait for the recovery");
    }
    return opened;
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
    join(done, "recovery of " + group);
  }

  private static void join(CompletableFuture<Void> attempt, String operation) {
    try {
      attempt.join();
    } catch (CompletionException e) {
      if (e.getCause() instanceof StorageException typed) {
        throw typed;
      }
      throw new StorageException(
          StorageException.Kind.INPUT_OUTPUT, operation + ": " + e.getCause(), e.getCause());
    }
  }

  @Override
  public void execute(StorageEffect effect) {
    queue.add(new Write(effect));
  }

  @Override
  public void close() {
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
    boolean stopped = false;
    while (!stopped) {
      tryToOpenFolder(System.nanoTime());
      stopped = takeJobs();
      runGroups(System.nanoTime());
      if (queue.isEmpty()) {
        groups.values().forEach(GroupStorage::markSynced);
      }
    }
    closeFiles();
  }

  private void tryToOpenFolder(long now) {
    if (folder != null || folderFailure != null || folderRetry.pauseLeft(now) > 0) {
      return;
    }
    try {
      folder = new DataFolder(settings, setAside, disk);
      folderRetry.succeeded(now);
      firstAttempt.complete(null);
    } catch (IOException refused) {
      folderRetry.failed(refused, now);
      firstAttempt.complete(null);
    } catch (RuntimeException e) {
      folderUnusable(e, now);
    }
  }

  /** Retries while another process may be ending, which holds the lock until its end. */
  private void folderUnusable(RuntimeException failure, long now) {
    boolean locked =
        failure instanceof StorageException typed && typed.kind() == StorageException.Kind.LOCKED;
    if (locked && now - openingSince < settings.lockTimeout().toNanos()) {
      folderRetry.failed(failure, now);
      return;
    }
    folderFailure = failure;
    firstAttempt.completeExceptionally(failure);
  }

  private void runGroups(long now) {
    for (GroupStorage group : groups.values()) {
      if (folder != null) {
        group.run(now);
      } else if (folderFailure != null) {
        group.fail(folderFailure);
      }
    }
  }

  /** Waits for jobs or the next attempt, and returns whether the storage is to stop. */
  private boolean takeJobs() {
    List<Job> jobs = new ArrayList<>();
    try {
      Job first = queue.poll(pauseLeft(System.nanoTime()), TimeUnit.NANOSECONDS);
      if (first != null) {
        jobs.add(first);
      }
    } catch (InterruptedException e) {
      Logger.warn("storage: ignored an interrupt; close() ends the thread");
    }
    queue.drainTo(jobs, MAX_JOBS_PER_BATCH);
    boolean stopped = false;
    for (Job job : jobs) {
      if (job instanceof Write write) {
        group(write.effect().group()).add(write.effect());
      } else if (job instanceof Recover recover) {
        startRecovery(recover);
      } else {
        stopped = true;
      }
    }
    return stopped;
  }

  private long pauseLeft(long now) {
    if (folder == null) {
      return folderFailure == null ? folderRetry.pauseLeft(now) : Long.MAX_VALUE;
    }
    long pause = Long.MAX_VALUE;
    for (GroupStorage group : groups.values()) {
      pause = Math.min(pause, group.pauseLeft(now));
    }
    return pause;
  }

  private void startRecovery(Recover recover) {
    group(recover.group()).recover(recover.firstAttempt());
    if (folder == null && folderFailure == null) {
      recover.firstAttempt().complete(null);
    }
  }

  private GroupStorage group(GroupId group) {
    return groups.computeIfAbsent(
        group,
        id ->
            new GroupStorage(
                id, () -> new GroupLog(id, settings, codec, disk), setAside, this::report));
  }

  private void report(StorageEvent event) {
    if (event instanceof StorageEvent.Persisted || event instanceof StorageEvent.SnapshotSaved) {
      syncs.increment();
    } else if (event instanceof StorageEvent.LogSetAside) {
      logsSetAside.increment();
    }
    try {
      events.accept(event);
    } catch (RejectedExecutionException ended) {
      Logger.info("storage: a result of {} came after the end of its receiver", event.group());
    }
  }

  private void closeFiles() {
    try {
      for (GroupStorage group : groups.values()) {
        group.close();
      }
      if (folder != null) {
        folder.close();
      }
    } catch (IOException e) {
      Logger.warn(e, "storage: the data folder was not closed cleanly");
    }
  }

  private sealed interface Job {}

  private record Recover(GroupId group, CompletableFuture<Void> firstAttempt) implements Job {}

  private record Write(StorageEffect effect) implements Job {}

  private record Stop() implements Job {}
}
