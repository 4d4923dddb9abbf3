package org.skylarkfork.standin.text;

import java.nio.charset.StandardCharsets;

/** The 64-bit FNV-1a hash that names prefixes and seeds answers. */
public final class Hash {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final int BYTE_MASK = 0xff;

  private Hash() {}

  /**
   * Hashes a text.
   *
   * @param text any text
   * @return the hash of its UTF-8 bytes
   */
  public static long of(String text) {
    return extend(OFFSET_BASIS, text);
  }

  /**
   * Hashes a text that follows another one.
   *
   * @param hash the hash of the text before
   * @param text the text that follows
   * @return the hash of both
   */
  public static long extend(long hash, String text) {
    long extended = hash;
    for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
      extended ^= octet & BYTE_MASK;
      extended *= PRIME;
    }
    return extended;
  }

  /**
   * Writes a hash as 16 hexadecimal digits.
   *
   * @param hash the hash
   * @return the digits, in lower case
   */
  public static String hex(long hash) {
    return String.format("%016x", hash);
  }
}
