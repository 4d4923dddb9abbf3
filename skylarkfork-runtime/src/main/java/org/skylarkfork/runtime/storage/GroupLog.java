package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
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
  private boolean partialWrite;
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
   * Reads the stored state, truncates a torn last record and opens the log for writes.
   *
   * <p>The previous process may have ended before a sync. What was read then is only in the page
   * cache, and the replica counts it as stored, so it is synced before it is returned.
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
      currentFile = disk.append(segments.getLast().file());
      currentFile.sync();
      disk.syncFolder(folder);
    }
    return new StorageEvent.Recovered(group, hardState, snapshot, log.entries());
  }

  /**
   * Appends the writes as one record and syncs the segment.
   *
   * @throws DiskFullException if the disk is full; the log is unchanged and the call may be retried
   */
  void append(List<LogWrite> writes) throws IOException {
    final HardState stateBefore = hardState;
    final long indexBefore = lastIndex;
    if (partialWrite) {
      truncatePartialWrite();
    }
    try {
      appendOnce(writes);
    } catch (DiskFullException full) {
      hardState = stateBefore;
      lastIndex = indexBefore;
      partialWrite = true;
      throw full;
    }
  }

  /** Truncates the bytes that a failed write left; they were never synced or acknowledged. */
  private void truncatePartialWrite() throws IOException {
    if (currentFile == null) {
      currentFile = disk.append(segments.getLast().file());
    }
    disk.truncate(segments.getLast().file(), segments.getLast().size());
    partialWrite = false;
  }

  private void appendOnce(List<LogWrite> writes) throws IOException {
    if (segments.getLast().size() >= segmentBytes) {
      roll();
    }
    for (LogWrite write : writes) {
      advance(write);
    }
    byte[] record = RecordFormat.record(codec.toBytes(writes.toArray(LogWrite[]::new)));
    openFile().write(record);
    openFile().sync();
    marked = false;
    segments.getLast().recordAppend(record.length);
    writes.forEach(write -> segments.getLast().recordAppend(0, write));
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
    if (marked || partialWrite || currentFile == null) {
      return;
    }
    marked = true;
    try {
      currentFile.write(syncMark);
      segments.getLast().recordAppend(syncMark.length);
    } catch (IOException e) {
      Logger.warn("storage: {} has no mark behind its last record: {}", group, e.toString());
      partialWrite = true;
    }
  }

  /** Saves a snapshot, then deletes the segments and older snapshots that it replaces. */
  void save(Snapshot snapshot) throws IOException {
    snapshots.save(snapshot);
    lastIndex = Math.max(lastIndex, snapshot.index());
    roll();
    while (segments.size() > 1 && segments.getFirst().highestIndex() <= snapshot.index()) {
      disk.delete(segments.removeFirst().file());
    }
    snapshots.deleteBefore(snapshot.index());
    disk.syncFolder(folder);
  }

  void close() throws IOException {
    if (currentFile != null) {
      currentFile.close();
      currentFile = null;
    }
  }

  private Disk.AppendFile openFile() throws IOException {
    if (currentFile == null) {
      throw new IOException("the log of " + group + " is closed");
    }
    return currentFile;
  }

  private void advance(LogWrite write) throws IOException {
    if (write.hardState() != null) {
      hardState = write.hardState();
    }
    if (write.truncateFrom() > 0) {
      lastIndex = Math.min(lastIndex, write.truncateFrom() - 1);
    }
    if (write.entries().isEmpty()) {
      return;
    }
    long first = write.entries().get(0).index();
    if (first != lastIndex + 1) {
      // The next start would reject a gap on the disk, and it could no longer be repaired then.
      throw new IOException("entry " + first + " doesn't follow entry " + lastIndex);
    }
    lastIndex = write.entries().get(write.entries().size() - 1).index();
  }

  private void roll() throws IOException {
    if (marked) {
      // Only the last segment may have a torn end.
      openFile().sync();
    }
    openFile().close();
    currentFile = null;
    long next = segments.getLast().number() + 1;
    try {
      openSegment(next);
    } catch (DiskFullException full) {
      openFile().close();
      currentFile = null;
      disk.delete(new Segment(folder, next).file());
      throw full;
    }
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
