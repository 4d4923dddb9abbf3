package org.skylarkfork.runtime.storage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.Test;

/** Tests which last records {@link GroupLog} truncates as never synced, and which it rejects. */
public final class TornRecordTest {

  private static final Path FOLDER = Path.of("/data");
  private static final Path LOG = FOLDER.resolve(StorageModel.GROUP.toString());
  private static final Path SEGMENT = new Segment(LOG, 1).file();
  private static final int SEGMENT_BYTES = 1 << 20;
  private static final int MIN_DAMAGE_BYTES = 1;
  private static final int MAX_DAMAGE_BYTES = 40;

  private final Codec codec = new Codec();
  private final byte[] mark = RecordFormat.record(codec.toBytes(new LogWrite[0]));
  private final LogWrite last = write(3, 700);
  private final byte[] record = RecordFormat.record(codec.toBytes(new LogWrite[] {last}));

  private GroupLog log(Disk disk) {
    StorageSettings settings = new StorageSettings(FOLDER, SEGMENT_BYTES, "id-1");
    return new GroupLog(StorageModel.GROUP, settings, codec, disk);
  }

  private static LogWrite write(long index, int nameLength) {
    GroupCommand command = new GroupCommand.AdmitMember("n".repeat(nameLength));
    LogEntry entry = new LogEntry(index, 1, Instant.ofEpochSecond(index), command);
    return new LogWrite(new HardState(index, "node", 7), 0, List.of(entry));
  }

  /** Returns a disk with two acknowledged entries and their marks. */
  private FakeDisk diskWithTwoEntries() throws IOException {
    FakeDisk disk = new FakeDisk();
    disk.createFolder(FOLDER);
    GroupLog log = log(disk);
    log.recover();
    log.append(List.of(write(1, 40)));
    log.append(List.of(write(2, 40)));
    log.markSynced();
    log.close();
    return disk;
  }

  private StorageEvent.Recovered recover(Disk disk) throws IOException {
    GroupLog log = log(disk);
    try {
      return log.recover();
    } finally {
      log.close();
    }
  }

  private static byte[] join(byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) {
      length += part.length;
    }
    byte[] joined = new byte[length];
    int offset = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, joined, offset, part.length);
      offset += part.length;
    }
    return joined;
  }

  /** Returns what a loss of power can leave of one unsynced write. */
  private static List<byte[]> torn(byte[] write) {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(41L);
    List<byte[]> left = new ArrayList<>();
    for (int at = 0; at <= write.length; at++) {
      left.add(Arrays.copyOf(write, at));
      left.add(zeros(write, at, write.length));
      left.add(zeros(write, 0, at));
      left.add(zeros(write, at, Math.min(write.length, at + 100)));
      byte[] oldBytes = write.clone();
      for (int i = at; i < write.length; i++) {
        oldBytes[i] = (byte) random.nextInt();
      }
      left.add(oldBytes);
    }
    return left;
  }

  private static byte[] zeros(byte[] bytes, int from, int to) {
    byte[] changed = bytes.clone();
    Arrays.fill(changed, from, to, (byte) 0);
    return changed;
  }

  /** Guards against a start that fails since the last, unsynced write was torn at some byte. */
  @Test
  public void testUnsyncedRecordMayBeTornAtAnyByte() throws IOException {
    FakeDisk disk = diskWithTwoEntries();
    byte[] marked = disk.bytes(SEGMENT);
    byte[] unmarked = Arrays.copyOf(marked, marked.length - mark.length);
    StorageEvent.Recovered before = recover(disk);
    disk.replace(SEGMENT, join(marked, record));
    final StorageEvent.Recovered after = recover(disk);
    for (byte[] synced : List.of(marked, unmarked)) {
      for (byte[] left : torn(record)) {
        disk.replace(SEGMENT, join(synced, left));
        StorageEvent.Recovered expected = Arrays.equals(left, record) ? after : before;
        assertEquals(recover(disk), expected, Arrays.toString(left));
        assertEquals(recover(disk), expected, "second start");
      }
    }
  }

  /** Guards against a start that fails since a mark was torn and the write behind it wasn't. */
  @Test
  public void testMarkMayBeTornBeforeUnsyncedRecord() throws IOException {
    FakeDisk disk = diskWithTwoEntries();
    byte[] marked = disk.bytes(SEGMENT);
    byte[] unmarked = Arrays.copyOf(marked, marked.length - mark.length);
    StorageEvent.Recovered before = recover(disk);
    disk.replace(SEGMENT, join(marked, record));
    final StorageEvent.Recovered after = recover(disk);
    for (byte[] leftOfMark : torn(mark)) {
      if (leftOfMark.length < mark.length) {
        continue;
      }
      disk.replace(SEGMENT, join(unmarked, leftOfMark, record));
      assertEquals(recover(disk), after, Arrays.toString(leftOfMark));
      for (int at = 0; at < record.length; at += 7) {
        disk.replace(SEGMENT, join(unmarked, leftOfMark, zeros(record, at, record.length)));
        assertEquals(recover(disk), before, Arrays.toString(leftOfMark) + " " + at);
      }
    }
  }

  /** Guards against a power failure at the first start that no later start survives. */
  @Test
  public void testFirstRecordMayBeTornAtAnyByte() throws IOException {
    FakeDisk disk = new FakeDisk();
    disk.createFolder(FOLDER);
    StorageEvent.Recovered empty = recover(disk);
    byte[] start = disk.bytes(SEGMENT);
    for (byte[] left : torn(start)) {
      if (showsNewerLayout(left)) {
        continue; // Old bytes in place of the version alone can't be told from a newer version.
      }
      disk.replace(SEGMENT, left);
      assertEquals(recover(disk), empty, Arrays.toString(left));
    }
  }

  private static boolean showsNewerLayout(byte[] bytes) {
    if (bytes.length < RecordFormat.FILE_HEADER_BYTES) {
      return false;
    }
    long header = ByteBuffer.wrap(bytes).getLong();
    long layouts = RecordFormat.SEGMENT_HEADER | 0xffff;
    return header > RecordFormat.SEGMENT_HEADER && header <= layouts;
  }

  /** Guards against dropping the last record, which may be acknowledged, since it was changed. */
  @Test
  public void testSyncedLastRecordIsNeverDropped() throws IOException {
    FakeDisk disk = diskWithTwoEntries();
    GroupLog log = log(disk);
    log.recover();
    log.append(List.of(last));
    log.markSynced();
    log.close();
    byte[] intact = disk.bytes(SEGMENT);
    final StorageEvent.Recovered whole = recover(disk);
    int end = intact.length - mark.length;
    for (int length : List.of(MIN_DAMAGE_BYTES, 8, MAX_DAMAGE_BYTES)) {
      for (int at = end - record.length; at + length <= end; at++) {
        byte[] damaged = zeros(intact, at, at + length);
        disk.replace(SEGMENT, damaged);
        if (Arrays.equals(damaged, intact)) {
          assertEquals(recover(disk), whole);
          continue;
        }
        StorageException rejected = expectThrows(StorageException.class, () -> recover(disk));
        assertEquals(rejected.kind(), StorageException.Kind.CORRUPT, "at " + at);
        assertTrue(rejected.getMessage().contains(SEGMENT + " at offset "));
      }
    }
  }

  /** Guards against dropping the records behind a changed one. */
  @Test
  public void testRecordBeforeOthersIsNeverDropped() throws IOException {
    FakeDisk disk = diskWithTwoEntries();
    byte[] unmarked = Arrays.copyOf(disk.bytes(SEGMENT), disk.bytes(SEGMENT).length - mark.length);
    byte[] intact = join(unmarked, record);
    for (int at = 0; at < unmarked.length; at++) {
      for (int change : List.of(1, 0x80, 0xff)) {
        byte[] damaged = intact.clone();
        damaged[at] ^= (byte) change;
        disk.replace(SEGMENT, damaged);
        expectThrows(StorageException.class, () -> recover(disk));
      }
    }
  }

  /** Guards against a version that can't read the logs of the version before, without marks. */
  @Test
  public void testLogWithoutMarksIsRead() throws IOException {
    FakeDisk disk = diskWithTwoEntries();
    final StorageEvent.Recovered marked = recover(disk);
    byte[] start =
        RecordFormat.fileStart(
            RecordFormat.SEGMENT_HEADER,
            codec.toBytes(new SegmentStart(StorageModel.GROUP, 1, null)));
    byte[] first = RecordFormat.record(codec.toBytes(new LogWrite[] {write(1, 40)}));
    byte[] second = RecordFormat.record(codec.toBytes(new LogWrite[] {write(2, 40)}));
    disk.replace(SEGMENT, join(start, first, second));
    assertEquals(recover(disk), marked);
  }

  /** Guards against marks that the version before takes for writes: they are records of none. */
  @Test
  public void testMarkIsRecordWithoutWrites() throws IOException {
    FakeDisk disk = diskWithTwoEntries();
    byte[] bytes = disk.bytes(SEGMENT);
    byte[] end = Arrays.copyOfRange(bytes, bytes.length - mark.length, bytes.length);
    assertEquals(end, mark);
    byte[] payload = Arrays.copyOfRange(mark, RecordFormat.RECORD_HEADER_BYTES, mark.length);
    assertEquals(List.of(codec.fromBytes(payload, LogWrite[].class)), Collections.emptyList());
  }
}
