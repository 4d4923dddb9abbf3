package org.skylarkfork.runtime.storage;

import org.jspecify.annotations.Nullable;

/** Reports that the data folder can't be used in its current state. */
public final class StorageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Kinds of errors of a data folder. */
  public enum Kind {
    /** The folder doesn't exist or can't be read. */
    FOLDER_UNUSABLE("mount or create the folder and grant this process write permission"),
    /** Another process uses the folder. */
    LOCKED("stop the other process, or configure another data folder for this one"),
    /** Stored bytes were changed after they were synced. */
    CORRUPT(
        "don't delete single files: this node sets the whole log aside and joins again as a"
            + " learner, which takes a majority of the other voters"),
    /** The data was written by a newer version. */
    NEWER_FORMAT("start the version that wrote the data folder, or a later one"),
    /** A write, a sync or a read failed. */
    INPUT_OUTPUT(
        "check the system log for disk errors, repair the disk, then restart this process");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    /** Returns the action that the operator can take. */
    public String remedy() {
      return remedy;
    }
  }

  private final Kind kind;

  /**
   * Creates an exception whose message ends in the remedy of its kind.
   *
   * @param kind kind of the error
   * @param detail the file, the offset and the problem found there
   * @param cause the error of the file system, or null
   */
  public StorageException(Kind kind, String detail, @Nullable Throwable cause) {
    super(detail + "; " + kind.remedy(), cause);
    this.kind = kind;
  }

  /** Returns the kind of the error. */
  public Kind kind() {
    return kind;
  }
}
