package org.skylarkfork.runtime.storage;

import java.io.IOException;
import java.nio.file.Path;
import org.skylarkfork.core.command.GroupId;
import org.tinylog.Logger;

/**
 * Sets the damaged logs of a data folder aside, so that their replicas can start with empty ones.
 *
 * <p>A log's folder is renamed; a single file that was moved could leave a shorter log that looks
 * intact. The name that it gets tells later starts that the empty log isn't a new one. One damaged
 * log is kept for each group.
 */
final class SetAsideLogs {

  private static final String PREFIX = "damaged-";

  /** Size in bytes of a log that holds little more than the identity of a replica. */
  private static final long SMALL_LOG_BYTES = 4096;

  private final Path dataFolder;
  private final Disk disk;

  SetAsideLogs(Path dataFolder, Disk disk) {
    this.dataFolder = dataFolder;
    this.disk = disk;
  }

  /** Returns the folder to which a damaged log of a group is moved. */
  Path folder(GroupId group) {
    return dataFolder.resolve(PREFIX + group);
  }

  /** Returns whether a damaged log of a group was set aside. */
  boolean contains(GroupId group) throws IOException {
    return disk.exists(folder(group));
  }

  /**
   * Moves the log of a group away, or deletes it if it is small and another one was set aside
   * before: a replica whose log is damaged again before it has joined holds nothing.
   *
   * @param group group of the log
   * @param reason what is damaged, for the log line
   */
  void setAside(GroupId group, String reason) throws IOException {
    Path log = dataFolder.resolve(group.toString());
    Path target = folder(group);
    long size = size(log);
    if (disk.exists(target) && size < SMALL_LOG_BYTES) {
      Logger.error(
          "storage: deleted the damaged log of {}, {} bytes, since {} has an earlier one: {}",
          group,
          size,
          target,
          reason);
      deleteFolder(log);
    } else {
      deleteFolder(target);
      disk.rename(log, target);
      Logger.error(
          "storage: the log of {} is damaged, {} bytes set aside in {}; this replica joins again"
              + " once the others have a leader: {}",
          group,
          size,
          target,
          reason);
    }
    disk.syncFolder(dataFolder);
  }

  private long size(Path folder) throws IOException {
    long size = 0;
    for (String name : disk.names(folder)) {
      size += disk.read(folder.resolve(name)).length;
    }
    return size;
  }

  private void deleteFolder(Path folder) throws IOException {
    if (!disk.exists(folder)) {
      return;
    }
    for (String name : disk.names(folder)) {
      disk.delete(folder.resolve(name));
    }
    disk.delete(folder);
  }
}
