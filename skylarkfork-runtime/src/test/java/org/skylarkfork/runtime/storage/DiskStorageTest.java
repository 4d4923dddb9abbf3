package org.skylarkfork.runtime.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.Test;

/** Tests of {@link DiskStorage}. */
public final class DiskStorageTest {

  private static final Path FOLDER = Path.of("/data");
  private static final Path LOG = FOLDER.resolve(StorageModel.GROUP.toString());
  private static final int SMALL_SEGMENT = 700;
  private static final Duration LOCK_TIMEOUT = Duration.ofMillis(150);

  /** Multiplies the number of runs, for example {@code -Dskylarkfork.fuzz.factor=10}. */
  private static final int FACTOR = Integer.getInteger("skylarkfork.fuzz.factor", 1);

  private static final int CRASHES = 150 * FACTOR;
  private static final int FUZZ_RUNS = 1500 * FACTOR;

  private final Codec codec = new Codec();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  private DiskStorage open(Disk disk, Path folder) {
    return new DiskStorage(
        new StorageSettings(folder, SMALL_SEGMENT, "id-1", LOCK_TIMEOUT), codec, disk, events::add);
  }

  private static FakeDisk emptyDisk() {
    FakeDisk disk = new FakeDisk();
    disk.createFolder(FOLDER);
    return disk;
  }

  private StorageEvent nextEvent() {
    try {
      Event event = events.poll(20, TimeUnit.SECONDS);
      assertNotNull(event, "no event from the storage");
      return (StorageEvent) event;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private StorageEvent.Recovered recoverState(Disk disk, Path folder) {
    events.clear();
    try (DiskStorage storage = open(disk, folder)) {
      storage.recover(StorageModel.GROUP);
      return (StorageEvent.Recovered) nextEvent();
    }
  }

  /** Recovers a log without setting it aside if it is damaged. */
  private StorageEvent.Recovered recoverLog(Disk disk) throws IOException {
    StorageSettings settings = new StorageSettings(FOLDER, SMALL_SEGMENT, "id-1");
    GroupLog log = new GroupLog(StorageModel.GROUP, settings, codec, disk);
    try {
      return log.recover();
    } finally {
      log.close();
    }
  }

  /** Executes a number of random effects, one at a time, and returns the expected state. */
  private StorageModel fill(Disk disk, Path folder, int effects, long seed) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    StorageModel model = new StorageModel();
    try (DiskStorage storage = open(disk, folder)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      for (int i = 0; i < effects; i++) {
        storage.execute(model.next(random));
        assertFalse(nextEvent() instanceof StorageEvent.Failed);
      }
    }
    return model;
  }

  /** Does the same without the storage's thread, which marks records at varying times. */
  private StorageModel fillLog(Disk disk, int effects, long seed) throws IOException {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    StorageModel model = new StorageModel();
    open(disk, FOLDER).close();
    StorageSettings settings = new StorageSettings(FOLDER, SMALL_SEGMENT, "id-1");
    GroupLog log = new GroupLog(StorageModel.GROUP, settings, codec, disk);
    log.recover();
    for (int i = 0; i < effects; i++) {
      StorageEffect effect = model.next(random);
      if (effect instanceof StorageEffect.SaveSnapshot save) {
        log.save(save.snapshot());
      } else {
        log.append(List.of(LogWrite.of((StorageEffect.Persist) effect)));
      }
      log.markSynced();
    }
    log.close();
    return model;
  }

  private static Path segment(FakeDisk disk, int fromEnd) {
    List<String> names =
        disk.names(LOG).stream().filter(name -> name.startsWith(Segment.PREFIX)).toList();
    return LOG.resolve(names.get(names.size() - 1 - fromEnd));
  }

  @Test
  public void testRestartOnRealDiskRecoversState() throws IOException {
    Path folder = Files.createTempDirectory("storage");
    StorageModel model = fill(new FileDisk(), folder, 200, 21L);
    assertEquals(recoverState(new FileDisk(), folder), model.stateAfter(200));
    try (DiskStorage storage = open(new FileDisk(), folder)) {
      assertFalse(storage.firstStart());
      assertEquals(storage.instanceId(), "id-1");
      StorageException locked =
          expectThrows(StorageException.class, () -> open(new FileDisk(), folder));
      assertEquals(locked.kind(), StorageException.Kind.LOCKED);
    }
  }

  /**
   * The disk is full in the middle of a write and has space again later. The storage truncates the
   * partial record and retries the write; no entry is lost and no write fails.
   */
  @Test
  public void testWriteIsRetriedWhileDiskIsFull() {
    FakeDisk disk = emptyDisk();
    RefusingDisk full = new RefusingDisk(disk);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(5);
    StorageModel model = new StorageModel();
    try (DiskStorage storage = open(full, FOLDER)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      for (int effect = 0; effect < 40; effect++) {
        full.refuse(RefusingDisk.Operation.WRITE, effect % 10 == 3 ? 2 : 0);
        storage.execute(model.next(random));
        assertFalse(nextEvent() instanceof StorageEvent.Failed);
      }
    }
    assertEquals(recoverState(disk, FOLDER), model.stateAfter(40));
  }

  /**
   * A power failure before the deletion of the oldest segment is synced brings the segment back,
   * with a gap after it. The next start must delete it and recover all entries.
   */
  @Test
  public void testSegmentWithLostDeletionIsDeleted() throws IOException {
    FakeDisk disk = emptyDisk();
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(33);
    StorageModel model = new StorageModel();
    Path oldest = null;
    byte[] content = new byte[0];
    try (DiskStorage storage = open(disk, FOLDER)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      for (int effect = 0; effect < 200; effect++) {
        storage.execute(model.next(random));
        nextEvent();
        if (effect == 3) {
          oldest = segment(disk, 0);
          content = disk.read(oldest);
        }
      }
    }
    assertNotNull(oldest);
    assertFalse(disk.exists(oldest), "the test needs a deleted segment");
    try (Disk.AppendFile file = disk.append(oldest)) {
      file.write(content);
      file.sync();
    }
    disk.syncFolder(LOG);
    assertEquals(recoverState(disk, FOLDER), model.stateAfter(200));
    assertFalse(disk.exists(oldest));
  }

  @Test
  public void testPowerFailureKeepsAcknowledgedWrites() {
    // The power fails at a random write, sync, rename or deletion. Bytes and names that were not
    // synced are lost, truncated or zeros. After the restart the log must hold each acknowledged
    // write and otherwise only complete later writes: a lost one could let a voter vote twice.
    int tornOrLost = 0;
    for (int run = 0; run < CRASHES; run++) {
      UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1000L + run);
      FakeDisk disk = emptyDisk();
      StorageModel model = new StorageModel();
      int acknowledged = crash(disk, model, random);
      disk.crash(random);
      StorageEvent.Recovered found = recoverState(disk, FOLDER);
      List<StorageEvent.Recovered> allowed =
          model.states().subList(acknowledged, model.states().size());
      assertTrue(allowed.contains(found), "run " + run + " found " + found + " of " + allowed);
      tornOrLost += found.equals(model.stateAfter(model.states().size() - 1)) ? 0 : 1;
      assertEquals(recoverState(disk, FOLDER), found, "a second start recovers another state");
    }
    System.out.println(
        "storage: power failures " + CRASHES + ", unacknowledged writes lost " + tornOrLost);
    assertTrue(tornOrLost > CRASHES / 10);
  }

  /**
   * Guards against acknowledging what only the page cache holds: a process ends before a sync, its
   * successor recovers the write or the name and counts it as stored, then the power fails.
   */
  @Test
  public void testRecoveredStateSurvivesPowerFailure() {
    for (int run = 0; run < CRASHES; run++) {
      UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(3000L + run);
      FakeDisk disk = emptyDisk();
      crash(disk, new StorageModel(), random);
      disk.failAfter(Long.MAX_VALUE);
      StorageEvent.Recovered found = recoverState(disk, FOLDER);
      disk.crash(random);
      assertEquals(recoverState(disk, FOLDER), found, "run " + run);
    }
  }

  private int crash(FakeDisk disk, StorageModel model, UniformRandomProvider random) {
    events.clear();
    int acknowledged = 0;
    try (DiskStorage storage = open(disk, FOLDER)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      disk.failAfter(random.nextInt(120));
      while (!disk.hasFailed()) {
        int batchSize = 1 + random.nextInt(3);
        for (int i = 0; i < batchSize; i++) {
          storage.execute(model.next(random));
        }
        while (!disk.hasFailed() && acknowledged < model.states().size() - 1) {
          acknowledged = acknowledgedSoFar(model, acknowledged);
        }
      }
    }
    while (!events.isEmpty()) {
      acknowledged = acknowledgedSoFar(model, acknowledged);
    }
    return acknowledged;
  }

  /** Waits a moment for an acknowledgement and returns the number of acknowledged effects. */
  private int acknowledgedSoFar(StorageModel model, int before) {
    try {
      Event event = events.poll(1, TimeUnit.MILLISECONDS);
      assertFalse(event instanceof StorageEvent.Failed, "failed: " + event);
      return event == null ? before : acknowledgedAfter((StorageEvent) event, model, before);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private static int acknowledgedAfter(StorageEvent event, StorageModel model, int before) {
    if (event instanceof StorageEvent.SnapshotSaved) {
      return before + 1;
    }
    long sequence = ((StorageEvent.Persisted) event).sequence();
    return model.effectsUntil(sequence);
  }

  @Test
  public void testFlippedBitIsRejectedWithFileAndOffset() throws IOException {
    // A disk flips one bit of synced data. The recovery must fail with the file, the offset and the
    // remedy; skipping the record would lose acknowledged writes. Marks contain nothing: the
    // recovery may skip one, but must then recover everything.
    FakeDisk disk = emptyDisk();
    fill(disk, FOLDER, 12, 22L);
    final StorageEvent.Recovered whole = recoverState(disk, FOLDER);
    int flips = 0;
    int skipped = 0;
    for (String name : disk.names(LOG)) {
      Path file = LOG.resolve(name);
      byte[] intact = disk.bytes(file);
      for (int i = 0; i < intact.length; i++) {
        byte[] flipped = intact.clone();
        flipped[i] ^= (byte) (1 << (i % 8));
        disk.replace(file, flipped);
        if (isInMark(intact, i) && wholeIsRecovered(disk, whole)) {
          skipped++;
          continue;
        }
        StorageException refused = expectThrows(StorageException.class, () -> recoverLog(disk));
        assertTrue(refused.getMessage().contains(file + " "), refused.getMessage());
        assertTrue(refused.getMessage().contains(refused.kind().remedy()));
        flips++;
      }
      disk.replace(file, intact);
    }
    System.out.println("storage: flipped bits rejected " + flips + ", in marks " + skipped);
  }

  private boolean isInMark(byte[] bytes, int at) {
    byte[] mark = RecordFormat.record(codec.toBytes(new LogWrite[0]));
    for (int from = Math.max(0, at - mark.length + 1); from <= at; from++) {
      int to = Math.min(bytes.length, from + mark.length);
      if (Arrays.equals(bytes, from, to, mark, 0, mark.length)) {
        return true;
      }
    }
    return false;
  }

  /** Returns false if the start fails, and fails if it recovers anything else. */
  private boolean wholeIsRecovered(Disk disk, StorageEvent.Recovered whole) throws IOException {
    try {
      assertEquals(recoverLog(disk), whole);
      return true;
    } catch (StorageException e) {
      return false;
    }
  }

  @Test
  public void testOnlyLastRecordMayBeTorn() throws IOException {
    // The last segment is truncated: its complete records are read and the rest is removed. A crash
    // can't truncate an earlier segment, so that is rejected as corruption.
    FakeDisk disk = emptyDisk();
    StorageModel model = fill(disk, FOLDER, 60, 23L);
    Path last = segment(disk, 0);
    byte[] intact = disk.bytes(last);
    for (int length = 0; length < intact.length; length++) {
      disk.replace(last, Arrays.copyOf(intact, length));
      assertTrue(model.states().contains(recoverState(disk, FOLDER)), "cut to " + length);
    }
    Path earlier = segment(disk, 1);
    disk.replace(last, intact);
    byte[] cut = Arrays.copyOf(disk.bytes(earlier), disk.bytes(earlier).length - 1);
    disk.replace(earlier, cut);
    StorageException refused = expectThrows(StorageException.class, () -> recoverLog(disk));
    assertEquals(refused.kind(), StorageException.Kind.CORRUPT);
  }

  /**
   * One sync fails: the system may drop the bytes and let a second sync succeed without them. The
   * write is acknowledged only once it is in a new file, so that a power failure can't lose it.
   * Another group on the same disk isn't affected.
   */
  @Test
  public void testFailedSyncIsAcknowledgedOnlyAfterRewrite() {
    FakeDisk disk = emptyDisk();
    StorageModel model = new StorageModel();
    try (DiskStorage storage = open(disk, FOLDER)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      storage.recover(GroupId.LEDGER);
      nextEvent();
      storage.execute(model.persist(new HardState(1, "a", 7), 0, 1));
      assertEquals(nextEvent(), new StorageEvent.Persisted(StorageModel.GROUP, 1));
      disk.failNextSync();
      storage.execute(model.persist(null, 0, 1));
      storage.execute(new StorageEffect.Persist(GroupId.LEDGER, 1, null, 0, List.of()));
      List<StorageEvent> acknowledged = List.of(nextEvent(), nextEvent());
      assertTrue(acknowledged.contains(new StorageEvent.Persisted(StorageModel.GROUP, 2)));
      assertTrue(acknowledged.contains(new StorageEvent.Persisted(GroupId.LEDGER, 1)));
      for (int run = 0; run < CRASHES; run++) {
        FakeDisk crashed = disk.copy();
        crashed.crash(RandomSource.XO_SHI_RO_256_PP.create(run));
        assertEquals(recoverState(crashed, FOLDER), model.stateAfter(2));
      }
    }
    assertTrue(events.isEmpty());
  }

  @Test
  public void testGroupCommitAcknowledgesLastSequenceOnly() throws InterruptedException {
    FakeDisk disk = emptyDisk();
    StorageModel model = new StorageModel();
    CountDownLatch queued = new CountDownLatch(1);
    try (DiskStorage storage = open(disk, FOLDER)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      disk.beforeSync(() -> await(queued));
      for (int i = 0; i < 100; i++) {
        storage.execute(model.persist(null, 0, 1));
      }
      queued.countDown();
      long acknowledged = 0;
      while (acknowledged < 100) {
        acknowledged = ((StorageEvent.Persisted) nextEvent()).sequence();
      }
      assertTrue(storage.syncs() <= 3, "syncs " + storage.syncs());
    }
    assertEquals(recoverState(disk, FOLDER), model.stateAfter(100));
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  public void testMissingFolderIsRejected() throws IOException {
    Path folder = Files.createTempDirectory("storage");
    StorageException absent =
        expectThrows(
            StorageException.class, () -> open(new FileDisk(), folder.resolve("not-mounted")));
    assertEquals(absent.kind(), StorageException.Kind.FOLDER_UNUSABLE);
  }

  /**
   * Guards against a data folder that stays locked, since the loop that takes the results ended
   * before the storage, as it does when a daemon closes.
   */
  @Test(timeOut = 20_000)
  public void testEndedReceiverDoesNotKeepFolderLocked() throws IOException {
    Path folder = Files.createTempDirectory("storage");
    StorageModel model = new StorageModel();
    StorageSettings settings = new StorageSettings(folder, SMALL_SEGMENT, "id-1", LOCK_TIMEOUT);
    try (DiskStorage storage =
        new DiskStorage(settings, codec, new FileDisk(), DiskStorageTest::reject)) {
      storage.recover(StorageModel.GROUP);
      storage.execute(model.persist(null, 0, 1));
    }
    assertEquals(recoverState(new FileDisk(), folder), model.stateAfter(1));
  }

  private static void reject(Event event) {
    throw new RejectedExecutionException("ended: " + event);
  }

  @Test
  public void testGapInEntriesFailsGroup() {
    FakeDisk disk = emptyDisk();
    StorageModel model = new StorageModel();
    try (DiskStorage storage = open(disk, FOLDER)) {
      storage.recover(StorageModel.GROUP);
      nextEvent();
      model.persist(null, 0, 1);
      storage.execute(model.persist(null, 0, 1));
      assertTrue(nextEvent() instanceof StorageEvent.Failed);
    }
  }

  @Test
  public void testFuzzedFilesNeverChangeEntries() throws IOException {
    FakeDisk disk = emptyDisk();
    StorageModel model = fillLog(disk, 40, 25L);
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(26L);
    int refused = 0;
    Path file = segment(disk, 0);
    byte[] intact = disk.bytes(file);
    for (int i = 0; i < FUZZ_RUNS; i++) {
      disk.replace(file, damaged(intact, random));
      try {
        assertTrue(model.states().contains(recoverLog(disk)));
      } catch (StorageException e) {
        refused++;
      }
    }
    System.out.println("storage: fuzzed files " + FUZZ_RUNS + ", rejected " + refused);
    assertTrue(refused > FUZZ_RUNS / 2);
  }

  private static byte[] damaged(byte[] intact, UniformRandomProvider random) {
    byte[] bytes = Arrays.copyOf(intact, random.nextInt(intact.length + 40));
    int kind = random.nextInt(3);
    if (kind == 0) {
      random.nextBytes(bytes);
    }
    for (int i = 0; kind == 1 && bytes.length > 0 && i < 1 + random.nextInt(4); i++) {
      bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
    }
    for (int i = 0; kind == 2 && bytes.length > 0 && i < 16; i++) {
      bytes[random.nextInt(bytes.length)] = (byte) random.nextInt();
    }
    return bytes;
  }
}
