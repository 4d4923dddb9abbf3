package org.skylarkfork.runtime.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.command.GroupId;

/** Holds the lock and the instance id of a data folder. */
final class DataFolder implements Closeable {

  private static final String LOCK = "lock";
  private static final String INSTANCE = "instance-id";
  private static final String TEMPORARY = "new-instance-id";
  private static final int MAX_SHARD_DIGITS = 9;

  private final Closeable lock;
  private final String instanceId;
  private final boolean firstStart;

  /**
   * Locks the folder and reads its instance id, or writes a new id if there is none.
   *
   * <p>The id is durable before the first log is created. Logs without an id are therefore what is
   * left of a damaged folder, which may lack others, so they are set aside.
   *
   * @throws StorageException if the folder is missing or locked
   */
  DataFolder(StorageSettings settings, SetAsideLogs setAside, Disk disk) throws IOException {
    Path folder = settings.folder();
    if (!disk.exists(folder)) {
      // Creating the folder would hide a volume that isn't mounted, and the node would start empty.
      throw new StorageException(
          StorageException.Kind.FOLDER_UNUSABLE, folder + " doesn't exist", null);
    }
    lock = disk.lock(folder.resolve(LOCK));
    try {
      String stored = storedId(folder.resolve(INSTANCE), disk);
      List<GroupId> logs = stored.isEmpty() ? logsIn(folder, disk) : List.of();
      for (GroupId group : logs) {
        setAside.setAside(group, folder.resolve(INSTANCE) + " is missing or empty");
      }
      firstStart = stored.isEmpty() && logs.isEmpty();
      instanceId = stored.isEmpty() ? writeInstanceId(settings, disk) : stored;
    } catch (IOException | RuntimeException e) {
      lock.close();
      throw e;
    }
  }

  /** Returns the id of the folder. */
  String instanceId() {
    return instanceId;
  }

  /** Returns whether the folder had neither an id nor a log when it was opened. */
  boolean firstStart() {
    return firstStart;
  }

  @Override
  public void close() throws IOException {
    lock.close();
  }

  private static String storedId(Path file, Disk disk) throws IOException {
    return disk.exists(file) ? new String(disk.read(file), StandardCharsets.UTF_8).strip() : "";
  }

  /** Returns the groups whose logs are in the folder; other names aren't the storage's. */
  private static List<GroupId> logsIn(Path folder, Disk disk) throws IOException {
    List<GroupId> groups = new ArrayList<>();
    for (String name : disk.names(folder)) {
      for (GroupId known : List.of(GroupId.CONFIGURATION, GroupId.LEDGER, GroupId.RELAY)) {
        String shard = name.startsWith(known.name() + "-") ? shardIn(name, known) : "";
        if (isNumber(shard)) {
          groups.add(new GroupId(known.name(), Integer.parseInt(shard)));
        }
      }
    }
    return groups;
  }

  private static String shardIn(String name, GroupId group) {
    return name.substring(group.name().length() + 1);
  }

  private static boolean isNumber(String text) {
    boolean digits = text.chars().allMatch(character -> character >= '0' && character <= '9');
    return digits && !text.isEmpty() && text.length() <= MAX_SHARD_DIGITS;
  }

  private static String writeInstanceId(StorageSettings settings, Disk disk) throws IOException {
    Path folder = settings.folder();
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
