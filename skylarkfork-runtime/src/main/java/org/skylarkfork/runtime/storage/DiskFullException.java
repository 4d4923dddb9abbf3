package org.skylarkfork.runtime.storage;

import java.io.IOException;

/** The disk takes no more bytes; the write may be tried again once there is room. */
public final class DiskFullException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Makes the exception.
   *
   * @param cause what the file system said
   */
  public DiskFullException(IOException cause) {
    super(cause.getMessage(), cause);
  }
}
