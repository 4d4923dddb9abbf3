package org.skylarkfork.runtime.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Holds the lock and the instance id of a data folder. */
final class DataFolder implements Closeable {

  private static final String LOCK = "lock";
  private static final String INSTANCE = "instance-id";
  private static final String TEMPORARY = "new-instance-id";

  private final Closeable lock;
  private final String instanceId;
  private final boolean firstStart;

  /**
   * Locks the folder and reads its instance id, or writes a new id if the folder is empty.
   *
   * @throws StorageException if the folder is missing, locked, or holds data without an instance id
   */
  DataFolder(StorageSettings settings, Disk disk) throws IOException {
    Path folder = settings.folder();
    if (!disk.exists(folder)) {
      // Creating the folder would hide a volume that isn't mounted, and the node would start empty.
      throw new StorageException(
          StorageException.Kind.FOLDER_UNUSABLE, folder + " doesn't exist", null);
    }
    lock = disk.lock(folder.resolve(LOCK));
    try {
      firstStart = !disk.exists(folder.resolve(INSTANCE));
      instanceId =
          firstStart
              ? writeInstanceId(settings, disk)
              : readInstanceId(folder.resolve(INSTANCE), disk);
    } catch (IOException | RuntimeException e) {
      lock.close();
      throw e;
    }
  }

  /** Returns the id that was written when the folder was empty. */
  String instanceId() {
    return instanceId;
  }

  /** Returns whether the folder was empty when it was opened. */
  boolean firstStart() {
    return firstStart;
  }

  @Override
  public void close() throws IOException {
    lock.close();
  }

  private static String readInstanceId(Path file, Disk disk) throws IOException {
    String id = new String(disk.read(file), StandardCharsets.UTF_8).strip();
    if (id.isEmpty()) {
      throw new StorageException(StorageException.Kind.CORRUPT, file + " is empty", null);
    }
    return id;
  }

  private static String writeInstanceId(StorageSettings settings, Disk disk) throws IOException {
    Path folder = settings.folder();
    for (String name : disk.names(folder)) {
      if (!name.equals(LOCK) && !name.equals(TEMPORARY)) {
        throw new StorageException(
            StorageException.Kind.CORRUPT, folder + " has data but no file " + INSTANCE, null);
      }
    }
    Path temporary = folder.resolve(TEMPORARY);
    if (disk.exists(temporary)) {
      disk.delete(temporary);
    }
    try (Disk.AppendFile file = disk.append(temporary)) {
      file.write(settings.newInstanceId().getBytes(StandardCharsets.UTF_8));
      file.sync();
    }
    disk.rename(temporary, folder.resolve(INSTANCE));
    disk.syncFolder(folder);
    return settings.newInstanceId();
  }
}
