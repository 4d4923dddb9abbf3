package org.skylarkfork.runtime.limits;

/** Reports that an upstream sent more bytes than its answer, or a part of it, may have. */
public final class TooLongAnswerException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param what what is too long
   * @param maxBytes maximum length in bytes
   */
  public TooLongAnswerException(String what, long maxBytes) {
    super(what + " is longer than " + maxBytes + " bytes");
  }
}
