package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.event.StorageEvent;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.codec.CodecException;
import org.tinylog.Logger;

/** Reads and writes the segments and snapshots of one group; confined to the storage's thread. */
final class GroupLog {

  /** Name of a copy of the last segment until it replaces the segment. */
  private static final String TEMPORARY = "new-log";

  private final GroupId group;
  private final Path folder;
  private final long segmentBytes;
  private final BinaryCodec codec;
  private final Disk disk;
  private final SnapshotFiles snapshots;
  private final Deque<Segment> segments = new ArrayDeque<>();
  private Disk.@Nullable AppendFile currentFile;
  private @Nullable HardState hardState;
  private long lastIndex;
  private final byte[] syncMark;
  private boolean changing;
  private boolean marked;

  GroupLog(GroupId group, StorageSettings settings, BinaryCodec codec, Disk disk) {
    this.group = group;
    this.folder = settings.folder().resolve(group.toString());
    this.segmentBytes = settings.segmentBytes();
    this.codec = codec;
    this.disk = disk;
    this.snapshots = new SnapshotFiles(folder, codec, disk);
    this.syncMark = RecordFormat.record(codec.toBytes(new LogWrite[0]));
  }

  /**
   * Reads the stored state, truncates a torn last record, makes sure that what was read is on the
   * disk, and opens the log for writes.
   */
  StorageEvent.Recovered recover() throws IOException {
    disk.createFolder(folder);
    disk.syncFolder(folder.toAbsolutePath().getParent());
    Snapshot snapshot = snapshots.newest();
    ReplayedLog log = new ReplayedLog(snapshot == null ? 0 : snapshot.index());
    List<Long> numbers = snapshot == null ? segmentNumbers() : newestContiguous(segmentNumbers());
    checkComplete(numbers, snapshot);
    for (long number : numbers) {
      boolean last = number == numbers.get(numbers.size() - 1);
      replay(new Segment(folder, number), log, last, snapshot);
    }
    hardState = log.hardState();
    lastIndex = log.lastIndex();
    if (segments.isEmpty()) {
      openSegment(1);
    } else {
      rewriteLastSegment();
    }
    return new StorageEvent.Recovered(group, hardState, snapshot, log.entries());
  }

  /**
   * Appends the writes as one record and syncs the segment.
   *
   * @throws IOException if the disk refuses it; the call may be repeated
   * @throws IllegalStateException if an entry doesn't follow the last one
   */
  void append(List<LogWrite> writes) throws IOException {
    final long indexAfter = indexAfter(writes);
    beginChange();
    if (segments.getLast().size() >= segmentBytes) {
      roll();
    }
    byte[] record = RecordFormat.record(codec.toBytes(writes.toArray(LogWrite[]::new)));
    openFile().write(record);
    openFile().sync();
    marked = false;
    segments.getLast().recordAppend(record.length);
    for (LogWrite write : writes) {
      segments.getLast().recordAppend(0, write);
      hardState = write.hardState() == null ? hardState : write.hardState();
    }
    lastIndex = indexAfter;
    changing = false;
  }

  /**
   * Appends a record without writes, which proves to a later start that the record before it was
   * synced; does nothing if the last record is such a mark.
   *
   * <p>Without the mark, a last record that was changed after it was acknowledged would look like
   * one that a power failure tore, and would be dropped. The mark isn't synced and may be lost; a
   * failure to write it is logged only.
   */
  void markSynced() {
    if (marked || changing || currentFile == null) {
      return;
    }
    try {
      currentFile.write(syncMark);
      segments.getLast().recordAppend(syncMark.length);
      marked = true;
    } catch (IOException e) {
      Logger.warn("storage: {} has no mark behind its last record: {}", group, e.toString());
      changing = true;
    }
  }

  /**
   * Saves a snapshot, then deletes the segments and older snapshots that it replaces.
   *
   * @throws IOException if the disk refuses it; the call may be repeated
   */
  void save(Snapshot snapshot) throws IOException {
    beginChange();
    snapshots.save(snapshot);
    lastIndex = Math.max(lastIndex, snapshot.index());
    if (!segments.getLast().isEmpty()) {
      roll();
    }
    while (segments.size() > 1 && segments.getFirst().highestIndex() <= snapshot.index()) {
      deleteIfPresent(segments.getFirst().file());
      segments.removeFirst();
    }
    snapshots.deleteBefore(snapshot.index());
    disk.syncFolder(folder);
    changing = false;
  }

  /** Begins a change of the files, after those of a refused change are as they were before it. */
  private void beginChange() throws IOException {
    if (changing) {
      rewriteLastSegment();
    }
    changing = true;
  }

  /**
   * Replaces the last segment by a copy of its acknowledged records.
   *
   * <p>After a refused write or sync it is unknown what the disk holds: the operating system may
   * have dropped the unwritten pages, so that reads still return the bytes and a second sync
   * succeeds although they aren't on the disk. Only a new file whose first sync succeeds is known
   * to be on the disk. The last record of a process that was killed is in the same state.
   */
  private void rewriteLastSegment() throws IOException {
    close();
    Segment last = segments.getLast();
    deleteIfPresent(new Segment(folder, last.number() + 1).file());
    byte[] records = acknowledgedRecords(last);
    Path temporary = folder.resolve(TEMPORARY);
    deleteIfPresent(temporary);
    try (Disk.AppendFile copy = disk.append(temporary)) {
      copy.write(records);
      copy.sync();
    }
    disk.rename(temporary, last.file());
    disk.syncFolder(folder);
    currentFile = disk.append(last.file());
  }

  /**
   * Reads the acknowledged records of a segment. A mark at the end may be lost with a failed sync,
   * as it was never synced itself; it is cut then.
   */
  private byte[] acknowledgedRecords(Segment segment) throws IOException {
    int size = Math.toIntExact(segment.size());
    byte[] content = Arrays.copyOf(disk.read(segment.file()), size);
    RecordReader reader =
        new RecordReader(segment.file(), content, RecordFormat.SEGMENT_HEADER, 0, syncMark.length);
    byte[] payload = reader.next();
    while (payload != null) {
      payload = reader.next();
    }
    int lost = size - reader.offset();
    if (lost > (marked ? syncMark.length : 0)) {
      throw reader.corrupt("acknowledged records are missing");
    }
    if (lost > 0) {
      segment.recordCut(lost);
      marked = false;
    }
    return Arrays.copyOf(content, reader.offset());
  }

  private void deleteIfPresent(Path file) throws IOException {
    if (disk.exists(file)) {
      disk.delete(file);
    }
  }

  void close() throws IOException {
    Disk.AppendFile file = currentFile;
    currentFile = null;
    if (file != null) {
      file.close();
    }
  }

  private Disk.AppendFile openFile() {
    if (currentFile == null) {
      throw new IllegalStateException("the log of " + group + " is closed");
    }
    return currentFile;
  }

  /** Returns the last index after the writes. */
  private long indexAfter(List<LogWrite> writes) {
    long index = lastIndex;
    for (LogWrite write : writes) {
      if (write.truncateFrom() > 0) {
        index = Math.min(index, write.truncateFrom() - 1);
      }
      if (!write.entries().isEmpty()) {
        long first = write.entries().get(0).index();
        if (first != index + 1) {
          // The next start would reject a gap on the disk, and it could no longer be repaired then.
          throw new IllegalStateException("entry " + first + " doesn't follow entry " + index);
        }
        index = write.entries().get(write.entries().size() - 1).index();
      }
    }
    return index;
  }

  private void roll() throws IOException {
    if (marked) {
      // Only the last segment may have a torn end.
      openFile().sync();
    }
    close();
    openSegment(segments.getLast().number() + 1);
  }

  private void openSegment(long number) throws IOException {
    Segment segment = new Segment(folder, number);
    byte[] bytes = segmentStart(number, hardState);
    currentFile = disk.append(segment.file());
    currentFile.write(bytes);
    currentFile.sync();
    disk.syncFolder(folder);
    segment.recordAppend(bytes.length);
    segments.addLast(segment);
    marked = false;
  }

  /** Returns the first write of a segment. */
  private byte[] segmentStart(long number, @Nullable HardState state) {
    byte[] start = codec.toBytes(new SegmentStart(group, number, state));
    return RecordFormat.fileStart(RecordFormat.SEGMENT_HEADER, start);
  }

  private List<Long> segmentNumbers() throws IOException {
    return disk.names(folder).stream()
        .filter(name -> name.startsWith(Segment.PREFIX))
        .map(Segment::numberIn)
        .toList();
  }

  /**
   * Deletes the segments before a gap, which a snapshot has replaced, and returns the others.
   *
   * <p>A power failure before the deletion of segments is synced can bring some of them back. The
   * remaining segments must still continue the snapshot, which the replay checks.
   */
  private List<Long> newestContiguous(List<Long> numbers) throws IOException {
    int first = numbers.size() - 1;
    while (first > 0 && numbers.get(first - 1) == numbers.get(first) - 1) {
      first--;
    }
    for (int index = 0; index < first; index++) {
      disk.delete(new Segment(folder, numbers.get(index)).file());
    }
    return first <= 0 ? numbers : numbers.subList(first, numbers.size());
  }

  private void checkComplete(List<Long> numbers, @Nullable Snapshot snapshot) {
    if (numbers.isEmpty() && snapshot != null) {
      throw corrupt("a snapshot but no log; a vote may have been lost");
    }
    if (!numbers.isEmpty() && snapshot == null && numbers.get(0) != 1) {
      throw corrupt("log begins with segment " + numbers.get(0) + " and there is no snapshot");
    }
    for (int i = 1; i < numbers.size(); i++) {
      if (numbers.get(i) != numbers.get(i - 1) + 1) {
        throw corrupt("no segment between " + numbers.get(i - 1) + " and " + numbers.get(i));
      }
    }
  }

  private void replay(Segment segment, ReplayedLog log, boolean last, @Nullable Snapshot snapshot)
      throws IOException {
    Path file = segment.file();
    int startBytes = segmentStart(segment.number(), log.hardState()).length;
    RecordReader reader =
        new RecordReader(
            file, disk.read(file), RecordFormat.SEGMENT_HEADER, startBytes, syncMark.length);
    byte[] start = reader.next();
    if (start == null) {
      deleteIncompleteSegment(segment, reader, last, snapshot);
      return;
    }
    checkStart(decode(start, SegmentStart.class, reader), segment, reader);
    log.startSegment(decode(start, SegmentStart.class, reader));
    marked = false;
    for (byte[] payload = reader.next(); payload != null; payload = reader.next()) {
      LogWrite[] writes = decode(payload, LogWrite[].class, reader);
      marked = writes.length == 0;
      for (LogWrite write : writes) {
        String fault = log.apply(write);
        if (fault != null) {
          throw reader.corrupt(fault);
        }
        segment.recordAppend(0, write);
      }
    }
    if (reader.torn()) {
      truncateTornRecord(segment, reader, last);
    }
    segment.recordAppend(reader.offset());
    segments.addLast(segment);
  }

  private void checkStart(SegmentStart start, Segment segment, RecordReader reader) {
    if (!start.group().equals(group) || start.number() != segment.number()) {
      throw reader.corrupt("is segment " + start.number() + " of " + start.group());
    }
  }

  private void deleteIncompleteSegment(
      Segment segment, RecordReader reader, boolean last, @Nullable Snapshot snapshot)
      throws IOException {
    boolean first = segment.number() == 1 && snapshot == null;
    if (!last || (segments.isEmpty() && !first)) {
      throw reader.corrupt("a segment has no first record");
    }
    Logger.warn("storage: deleted {}, which has an incomplete first record", segment.file());
    disk.delete(segment.file());
    disk.syncFolder(folder);
  }

  private void truncateTornRecord(Segment segment, RecordReader reader, boolean last)
      throws IOException {
    if (!last) {
      throw reader.corrupt("a torn record in a segment that isn't the last");
    }
    Logger.warn(
        "storage: truncated {} at offset {}: {}, and nothing shows that it was ever synced",
        segment.file(),
        reader.offset(),
        reader.problem());
    disk.truncate(segment.file(), reader.offset());
  }

  private <T> T decode(byte[] payload, Class<T> type, RecordReader reader) {
    try {
      return codec.fromBytes(payload, type);
    } catch (CodecException e) {
      // The checksum matches, so the bytes are intact: a newer version wrote them.
      throw new StorageException(
          StorageException.Kind.NEWER_FORMAT, reader.corrupt("unreadable").getMessage(), e);
    }
  }

  private StorageException corrupt(String problem) {
    return new StorageException(StorageException.Kind.CORRUPT, folder + ": " + problem, null);
  }
}
