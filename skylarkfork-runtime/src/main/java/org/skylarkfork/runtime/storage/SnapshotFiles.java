package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.codec.CodecException;

/** Reads and writes the snapshots of one group; the file with the highest index is valid. */
final class SnapshotFiles {

  private static final String PREFIX = "snapshot-";
  private static final String TEMPORARY = "new-snapshot";

  private final Path folder;
  private final BinaryCodec codec;
  private final Disk disk;

  SnapshotFiles(Path folder, BinaryCodec codec, Disk disk) {
    this.folder = folder;
    this.codec = codec;
    this.disk = disk;
  }

  /**
   * Returns the newest snapshot, or null if there is none.
   *
   * <p>A damaged snapshot is rejected: the log before it is deleted, so an older snapshot would
   * lose entries.
   */
  @Nullable Snapshot newest() throws IOException {
    if (disk.exists(folder.resolve(TEMPORARY))) {
      disk.delete(folder.resolve(TEMPORARY));
    }
    List<String> names = names();
    if (names.isEmpty()) {
      return null;
    }
    Path file = folder.resolve(names.get(names.size() - 1));
    RecordReader reader =
        new RecordReader(file, disk.read(file), RecordFormat.SNAPSHOT_HEADER, 0, 0);
    byte[] payload = reader.next();
    if (payload == null || reader.next() != null || reader.torn()) {
      throw reader.corrupt("the snapshot is incomplete");
    }
    try {
      return codec.fromBytes(payload, Snapshot.class);
    } catch (CodecException e) {
      throw new StorageException(StorageException.Kind.NEWER_FORMAT, file + ": " + e, e);
    }
  }

  /** Saves a snapshot atomically: a crash leaves either the old or the new one. */
  void save(Snapshot snapshot) throws IOException {
    Path temporary = folder.resolve(TEMPORARY);
    if (disk.exists(temporary)) {
      disk.delete(temporary);
    }
    try (Disk.AppendFile file = disk.append(temporary)) {
      file.write(RecordFormat.fileStart(RecordFormat.SNAPSHOT_HEADER, codec.toBytes(snapshot)));
      file.sync();
    }
    disk.rename(temporary, folder.resolve(name(snapshot.index())));
    disk.syncFolder(folder);
  }

  /** Deletes the snapshots with a lower index. */
  void deleteBefore(long index) throws IOException {
    for (String name : names()) {
      if (name.compareTo(name(index)) < 0) {
        disk.delete(folder.resolve(name));
      }
    }
  }

  private List<String> names() throws IOException {
    return disk.names(folder).stream().filter(name -> name.startsWith(PREFIX)).toList();
  }

  private static String name(long index) {
    return String.format("%s%019d", PREFIX, index);
  }
}
