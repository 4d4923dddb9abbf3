package org.skylarkfork.runtime.storage;

import java.io.IOException;

/** Reports that the disk is full; the write may be retried once space is free. */
public final class DiskFullException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param cause the error of the file system
   */
  public DiskFullException(IOException cause) {
    super(cause.getMessage(), cause);
  }
}
