package org.skylarkfork.runtime.codec;

import org.jspecify.annotations.Nullable;

/** A value can't be written, or bytes can't be read as the value that was asked for. */
public final class CodecException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** What is wrong with the value or the bytes. */
  public enum Kind {
    /** The bytes aren't the format, or don't fit the record's components. */
    MALFORMED("drop the data; if a peer or a file keeps giving it, compare the versions in use"),
    /** The bytes name a record or an enum constant that this program doesn't have. */
    UNKNOWN_TYPE("upgrade this process to the version that wrote the data"),
    /** The value's class can't be written. */
    UNSUPPORTED("use records, sealed interfaces and the types that Codec lists");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    /** Returns what the reader of the error can do. */
    public String remedy() {
      return remedy;
    }
  }

  private final Kind kind;

  /**
   * Creates an exception whose message ends in the remedy of its kind.
   *
   * @param kind what is wrong
   * @param detail where and how
   * @param cause what the library said, or null
   */
  public CodecException(Kind kind, String detail, @Nullable Throwable cause) {
    super(detail + "; " + kind.remedy(), cause);
    this.kind = kind;
  }

  /** Returns what is wrong. */
  public Kind kind() {
    return kind;
  }
}
