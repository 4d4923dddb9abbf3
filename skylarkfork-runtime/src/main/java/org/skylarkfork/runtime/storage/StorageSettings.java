package org.skylarkfork.runtime.storage;

import java.nio.file.Path;

/**
 * Where and how the storage writes.
 *
 * @param folder the data folder; must exist
 * @param segmentBytes size in bytes from which a log segment is closed and a new one begun
 * @param newInstanceId random id that is written if the folder is empty
 */
public record StorageSettings(Path folder, long segmentBytes, String newInstanceId) {

  /** Size of a segment that keeps both the count of files and the time to read one low. */
  public static final long DEFAULT_SEGMENT_BYTES = 16L << 20;

  /** Checks the settings. */
  public StorageSettings {
    if (segmentBytes <= 0) {
      throw new IllegalArgumentException("segmentBytes is not positive; leave it out or raise it");
    }
    if (newInstanceId.isBlank()) {
      throw new IllegalArgumentException("newInstanceId is blank; give a random id");
    }
  }
}
