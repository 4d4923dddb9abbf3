package org.skylarkfork.runtime.storage;

import java.nio.file.Path;
import java.time.Duration;

/**
 * Data folder, segment size, instance id and waiting time of the storage.
 *
 * @param folder the data folder; must exist
 * @param segmentBytes size in bytes at which a log segment is closed and a new one created
 * @param newInstanceId random id that is written to an empty folder
 * @param lockTimeout how long to wait for a folder that another process uses
 */
public record StorageSettings(
    Path folder, long segmentBytes, String newInstanceId, Duration lockTimeout) {

  /** Default size in bytes; limits both the number of files and the time to read one. */
  public static final long DEFAULT_SEGMENT_BYTES = 16L << 20;

  /** Default waiting time; longer than a predecessor takes to end gracefully. */
  public static final Duration DEFAULT_LOCK_TIMEOUT = Duration.ofSeconds(60);

  /** Creates settings with the default waiting time. */
  public StorageSettings(Path folder, long segmentBytes, String newInstanceId) {
    this(folder, segmentBytes, newInstanceId, DEFAULT_LOCK_TIMEOUT);
  }

  /** Validates the settings. */
  public StorageSettings {
    if (segmentBytes <= 0) {
      throw new IllegalArgumentException("segmentBytes must be positive; omit it or raise it");
    }
    if (newInstanceId.isBlank()) {
      throw new IllegalArgumentException("newInstanceId must not be blank; set a random id");
    }
    if (lockTimeout.isNegative()) {
      throw new IllegalArgumentException("lockTimeout must not be negative; omit it or raise it");
    }
  }
}
