package org.skylarkfork.runtime.codec;

import org.jspecify.annotations.Nullable;

/** Thrown when a value can't be serialized or data can't be deserialized as the requested type. */
public final class CodecException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Category of the failure. */
  public enum Kind {
    /** The data isn't in the expected format or doesn't match the record's components. */
    MALFORMED(
        "drop the data; if a peer or a file repeatedly yields it, compare the versions in use"),
    /** The data names a record or an enum constant that this version doesn't have. */
    UNKNOWN_TYPE("upgrade this process to the version that wrote the data"),
    /** The value's class can't be serialized. */
    UNSUPPORTED("use records, sealed interfaces and the types that Codec lists");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    /** Returns the remedy that is suggested to the reader of the error. */
    public String remedy() {
      return remedy;
    }
  }

  private final Kind kind;

  /**
   * Creates an exception whose message ends with the remedy of its kind.
   *
   * @param kind category of the failure
   * @param detail what failed and where
   * @param cause the exception of the serialization library, or null
   */
  public CodecException(Kind kind, String detail, @Nullable Throwable cause) {
    super(detail + "; " + kind.remedy(), cause);
    this.kind = kind;
  }

  /** Returns the category of the failure. */
  public Kind kind() {
    return kind;
  }
}
