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

/** The segments and snapshots of one group; used by the storage's thread only. */
final class GroupLog {

  private final GroupId group;
  private final Path folder;
  private final long segmentBytes;
  private final BinaryCodec codec;
  private final Disk disk;
  private final SnapshotFiles snapshots;
  private final Deque<Segment> segments = new ArrayDeque<>();
  private Disk.@Nullable AppendFile current;
  private @Nullable HardState hardState;
  private long lastIndex;
  private boolean partialWrite;

  GroupLog(GroupId group, StorageSettings settings, BinaryCodec codec, Disk disk) {
    this.group = group;
    this.folder = settings.folder().resolve(group.toString());
    this.segmentBytes = settings.segmentBytes();
    this.codec = codec;
    this.disk = disk;
    this.snapshots = new SnapshotFiles(folder, codec, disk);
  }

  /** Reads everything, repairs a torn end and opens the log for writes. */
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
      current = disk.append(segments.getLast().file());
    }
    return new StorageEvent.Recovered(group, hardState, snapshot, log.entries());
  }

  /**
   * Appends writes as one record and syncs it.
   *
   * @throws DiskFullException if the disk is full; the log is as before and the call may be
   *     repeated
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

  /** Cuts off what a failed write has left; nothing behind it was synced or promised. */
  private void truncatePartialWrite() throws IOException {
    if (current == null) {
      current = disk.append(segments.getLast().file());
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
    segments.getLast().recordAppend(record.length);
    writes.forEach(write -> segments.getLast().recordAppend(0, write));
  }

  /** Saves a snapshot, then deletes the segments and snapshots that it makes needless. */
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
    if (current != null) {
      current.close();
      current = null;
    }
  }

  private Disk.AppendFile openFile() throws IOException {
    if (current == null) {
      throw new IOException("the log of " + group + " is closed");
    }
    return current;
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
      // A gap on the disk would be refused at the next start, when it is too late to mend it.
      throw new IOException("entry " + first + " was given after entry " + lastIndex);
    }
    lastIndex = write.entries().get(write.entries().size() - 1).index();
  }

  private void roll() throws IOException {
    openFile().close();
    current = null;
    long next = segments.getLast().number() + 1;
    try {
      openSegment(next);
    } catch (DiskFullException full) {
      openFile().close();
      current = null;
      disk.delete(new Segment(folder, next).file());
      throw full;
    }
  }

  private void openSegment(long number) throws IOException {
    Segment segment = new Segment(folder, number);
    byte[] start = codec.toBytes(new SegmentStart(group, number, hardState));
    byte[] bytes = RecordFormat.fileStart(RecordFormat.SEGMENT_HEADER, start);
    current = disk.append(segment.file());
    current.write(bytes);
    current.sync();
    disk.syncFolder(folder);
    segment.recordAppend(bytes.length);
    segments.addLast(segment);
  }

  private List<Long> segmentNumbers() throws IOException {
    return disk.names(folder).stream()
        .filter(name -> name.startsWith(Segment.PREFIX))
        .map(Segment::numberIn)
        .toList();
  }

  /**
   * Drops segments before a gap, which a snapshot has replaced.
   *
   * <p>Their deletion wasn't synced before a power failure, so that some came back and others not.
   * The rest must still continue the snapshot, which the replay checks.
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
      throw corrupt("a snapshot but no log; a vote may be forgotten");
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
    RecordReader reader = new RecordReader(file, disk.read(file), RecordFormat.SEGMENT_HEADER);
    byte[] start = reader.next();
    if (start == null) {
      deleteIncompleteSegment(segment, reader, last, snapshot);
      return;
    }
    checkStart(decode(start, SegmentStart.class, reader), segment, reader);
    log.startSegment(decode(start, SegmentStart.class, reader));
    for (byte[] payload = reader.next(); payload != null; payload = reader.next()) {
      for (LogWrite write : decode(payload, LogWrite[].class, reader)) {
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
      throw reader.corrupt("a segment without its first record");
    }
    Logger.warn("storage: dropped {}, which was torn while it was begun", segment.file());
    disk.delete(segment.file());
    disk.syncFolder(folder);
  }

  private void truncateTornRecord(Segment segment, RecordReader reader, boolean last)
      throws IOException {
    if (!last) {
      throw reader.corrupt("a torn record, but later segments follow");
    }
    Logger.warn("storage: cut a torn record off {} at {}", segment.file(), reader.offset());
    disk.truncate(segment.file(), reader.offset());
  }

  private <T> T decode(byte[] payload, Class<T> type, RecordReader reader) {
    try {
      return codec.fromBytes(payload, type);
    } catch (CodecException e) {
      // The checksum was right, so the bytes are as written: a newer version wrote them.
      throw new StorageException(
          StorageException.Kind.NEWER_FORMAT, reader.corrupt("unreadable").getMessage(), e);
    }
  }

  private StorageException corrupt(String found) {
    return new StorageException(StorageException.Kind.CORRUPT, folder + ": " + found, null);
  }
}
