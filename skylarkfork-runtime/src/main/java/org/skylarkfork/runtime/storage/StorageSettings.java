package org.skylarkfork.runtime.storage;

import java.nio.file.Path;

/**
 * Data folder, segment size and instance id of the storage.
 *
 * @param folder the data folder; must exist
 * @param segmentBytes size in bytes at which a log segment is closed and a new one created
 * @param newInstanceId random id that is written to an empty folder
 */
public record StorageSettings(Path folder, long segmentBytes, String newInstanceId) {

  /** Default size in bytes; limits both the number of files and the time to read one. */
  public static final long DEFAULT_SEGMENT_BYTES = 16L << 20;

  /** Validates the settings. */
  public StorageSettings {
    if (segmentBytes <= 0) {
      throw new IllegalArgumentException("segmentBytes must be positive; omit it or raise it");
    }
    if (newInstanceId.isBlank()) {
      throw new IllegalArgumentException("newInstanceId must not be blank; set a random id");
    }
  }
}
