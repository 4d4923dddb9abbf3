package org.skylarkfork.runtime.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.Test;

/** Tests starts with a log that was damaged after it was synced. */
public final class DamagedLogTest {

  private static final Path FOLDER = Path.of("/data");
  private static final GroupId GROUP = StorageModel.GROUP;
  private static final Path LOG = FOLDER.resolve(GROUP.toString());
  private static final Path SET_ASIDE = FOLDER.resolve("damaged-" + GROUP);
  private static final Path INSTANCE_ID = FOLDER.resolve("instance-id");
  private static final int SEGMENT_BYTES = 700;
  private static final int EFFECTS = 60;

  private final Codec codec = new Codec();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  private DiskStorage open(Disk disk, Path folder) {
    StorageSettings settings = new StorageSettings(folder, SEGMENT_BYTES, "id-1");
    return new DiskStorage(settings, codec, disk, events::add);
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

  private Start recover(Disk disk, Path folder) {
    events.clear();
    try (DiskStorage storage = open(disk, folder)) {
      return recoverIn(storage);
    }
  }

  private Start recover(Disk disk) {
    return recover(disk, FOLDER);
  }

  private Start recoverIn(DiskStorage storage) {
    storage.recover(GROUP);
    StorageEvent first = nextEvent();
    boolean setAside = first instanceof StorageEvent.LogSetAside;
    return new Start(setAside, (StorageEvent.Recovered) (setAside ? nextEvent() : first));
  }

  /** Executes random effects and returns the state after them. */
  private StorageEvent.Recovered fill(Disk disk, Path folder) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(51L);
    StorageModel model = new StorageModel();
    events.clear();
    try (DiskStorage storage = open(disk, folder)) {
      recoverIn(storage);
      for (int effect = 0; effect < EFFECTS; effect++) {
        storage.execute(model.next(random));
        assertFalse(nextEvent() instanceof StorageEvent.Failed);
      }
    }
    return model.stateAfter(EFFECTS);
  }

  private FakeDisk filledDisk() {
    FakeDisk disk = new FakeDisk();
    disk.createFolder(FOLDER);
    fill(disk, FOLDER);
    return disk;
  }

  private static void damageFirstSegment(FakeDisk disk) {
    Path file = logFiles(disk).get(0);
    byte[] bytes = disk.bytes(file);
    bytes[bytes.length / 2] ^= 4;
    disk.replace(file, bytes);
  }

  private static List<Path> logFiles(FakeDisk disk) {
    return disk.names(LOG).stream().map(LOG::resolve).toList();
  }

  private static void assertStartsEmpty(Start start, String message) {
    StorageEvent.Recovered empty = new StorageEvent.Recovered(GROUP, null, null, List.of());
    assertEquals(start, new Start(true, empty), message);
  }

  /** Guards against a process that ends at each start since its log is damaged. */
  @Test
  public void testDamagedFileIsSetAsideAndLogStartsEmpty() {
    FakeDisk filled = filledDisk();
    int files = logFiles(filled).size();
    assertTrue(files >= 3, "the test needs a snapshot and two segments");
    for (int file = 0; file < files; file++) {
      FakeDisk disk = filledDisk();
      Path path = logFiles(disk).get(Math.min(file, logFiles(disk).size() - 1));
      byte[] damaged = disk.bytes(path);
      Arrays.fill(damaged, 20, 24, (byte) 0x5a);
      disk.replace(path, damaged);
      final List<String> names = disk.names(LOG);
      assertStartsEmpty(recover(disk), path.toString());
      assertEquals(disk.names(SET_ASIDE), names);
      assertEquals(disk.bytes(SET_ASIDE.resolve(path.getFileName())), damaged);
    }
  }

  /** Guards against the same for a segment that is missing and for an emptied snapshot. */
  @Test
  public void testMissingSegmentAndEmptySnapshotAreSetAside() throws IOException {
    FakeDisk disk = filledDisk();
    for (Path file : logFiles(disk)) {
      if (file.getFileName().toString().startsWith("snapshot-")) {
        disk.replace(file, new byte[0]);
      }
    }
    assertStartsEmpty(recover(disk), "empty snapshot");
    FakeDisk other = filledDisk();
    for (Path file : logFiles(other)) {
      if (file.getFileName().toString().startsWith(Segment.PREFIX)) {
        other.delete(file);
      }
    }
    assertStartsEmpty(recover(other), "no segment");
  }

  /** Guards against reporting an empty disk at the second start, which would allow a founding. */
  @Test
  public void testLaterStartsKnowThatLogWasSetAside() {
    FakeDisk disk = filledDisk();
    damageFirstSegment(disk);
    assertStartsEmpty(recover(disk), "first start");
    assertStartsEmpty(recover(disk), "second start");
    StorageModel model = new StorageModel();
    events.clear();
    try (DiskStorage storage = open(disk, FOLDER)) {
      recoverIn(storage);
      storage.execute(model.persist(new HardState(0, null, 8), 0, 0));
      nextEvent();
    }
    assertTrue(recover(disk).setAside());
    assertEquals(recover(disk).state().hardState(), new HardState(0, null, 8));
  }

  /** Guards against a power failure that undoes the renaming and leaves a part of the log. */
  @Test
  public void testPowerFailureWhileLogIsSetAsideNeverShowsPartOfIt() {
    for (int operations = 0; operations < 40; operations++) {
      FakeDisk disk = filledDisk();
      damageFirstSegment(disk);
      disk.failAfter(operations);
      try (DiskStorage storage = open(disk, FOLDER)) {
        storage.recover(GROUP);
      }
      disk.crash(RandomSource.XO_SHI_RO_256_PP.create(600L + operations));
      assertStartsEmpty(recover(disk), "after " + operations);
    }
  }

  /** Guards against copies that fill the disk, and against the loss of the one that has data. */
  @Test
  public void testOneDamagedLogIsKept() throws IOException {
    FakeDisk disk = filledDisk();
    damageFirstSegment(disk);
    final List<String> names = disk.names(LOG);
    recover(disk);
    damageEmptyLog(disk);
    assertStartsEmpty(recover(disk), "small log");
    assertEquals(disk.names(SET_ASIDE), names);
    fill(disk, FOLDER);
    damageFirstSegment(disk);
    try (Disk.AppendFile file = disk.append(logFiles(disk).get(0))) {
      file.write(new byte[5000]);
      file.sync();
    }
    final List<String> laterNames = disk.names(LOG);
    assertStartsEmpty(recover(disk), "second log");
    assertEquals(disk.names(SET_ASIDE), laterNames);
    assertEquals(disk.names(FOLDER).size(), 3, disk.names(FOLDER).toString());
  }

  private static void damageEmptyLog(FakeDisk disk) {
    Path file = logFiles(disk).get(0);
    byte[] bytes = Arrays.copyOf(disk.bytes(file), disk.bytes(file).length + 30);
    bytes[20] ^= 1;
    disk.replace(file, bytes);
  }

  /** Guards against a process that ends at each start since its instance id is empty or missing. */
  @Test
  public void testLogsWithoutInstanceIdAreSetAside() throws IOException {
    FakeDisk empty = filledDisk();
    empty.replace(INSTANCE_ID, new byte[0]);
    assertStartsEmpty(recover(empty), "empty id");
    FakeDisk missing = filledDisk();
    missing.delete(INSTANCE_ID);
    assertStartsEmpty(recover(missing), "no id");
    assertStartsEmpty(recover(missing), "second start");
    assertEquals(new String(missing.bytes(INSTANCE_ID)), "id-1");
  }

  /** Guards against a first start that fails since a new volume isn't quite empty. */
  @Test
  public void testForeignFolderIsNoLog() throws IOException {
    Path folder = Files.createTempDirectory("storage");
    Files.createDirectory(folder.resolve("lost+found"));
    try (DiskStorage storage = open(new FileDisk(), folder)) {
      assertTrue(storage.firstStart());
    }
    assertFalse(recover(new FileDisk(), folder).setAside());
  }

  /** Guards against setting aside what a newer version wrote: the newer version needs it. */
  @Test
  public void testNewerLayoutStillEndsTheStart() {
    FakeDisk disk = filledDisk();
    Path file = logFiles(disk).get(0);
    byte[] bytes = disk.bytes(file);
    ByteBuffer.wrap(bytes).putLong(RecordFormat.SEGMENT_HEADER + 1);
    disk.replace(file, bytes);
    StorageException newer = expectThrows(StorageException.class, () -> recover(disk));
    assertEquals(newer.kind(), StorageException.Kind.NEWER_FORMAT);
    assertFalse(disk.exists(SET_ASIDE));
  }

  /** Guards against an operation that a real file system refuses. */
  @Test
  public void testLogIsSetAsideOnRealDisk() throws IOException {
    Path folder = Files.createTempDirectory("storage");
    for (int time = 0; time < 2; time++) {
      final StorageEvent.Recovered filled = fill(new FileDisk(), folder);
      assertEquals(recover(new FileDisk(), folder).state().entries(), filled.entries());
      Path first = filesIn(folder.resolve(GROUP.toString())).get(0);
      byte[] bytes = Arrays.copyOf(Files.readAllBytes(first), 9000);
      bytes[30] ^= 1;
      Files.write(first, bytes);
      Start recovered = recover(new FileDisk(), folder);
      assertNull(recovered.state().hardState());
      assertTrue(recovered.setAside());
      Path kept = folder.resolve("damaged-" + GROUP).resolve(first.getFileName());
      assertEquals(Files.readAllBytes(kept), bytes);
    }
  }

  /** What a start reports: whether a log was set aside at any time, and the state. */
  private record Start(boolean setAside, StorageEvent.Recovered state) {}

  private static List<Path> filesIn(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return new ArrayList<>(files.sorted().toList());
    }
  }
}
