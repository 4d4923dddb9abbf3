package org.skylarkfork.core.request;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A byte sequence, such as a body, compared by content.
 *
 * @param value the bytes; not copied, so the array must not be modified
 */
public record Bytes(byte[] value) {

  /** The empty byte sequence. */
  public static final Bytes EMPTY = new Bytes(new byte[0]);

  /** Returns the UTF-8 bytes of a text. */
  public static Bytes ofText(String text) {
    return new Bytes(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the bytes decoded as UTF-8. */
  public String text() {
    return new String(value, StandardCharsets.UTF_8);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Bytes bytes && Arrays.equals(value, bytes.value);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(value);
  }

  @Override
  public String toString() {
    return value.length + " bytes";
  }
}
