package org.skylarkfork.core.routing;

/** Hash function with the same result on all daemons, for shares that all entries must agree on. */
public final class StableHash {

  private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
  private static final long PRIME = 0x100000001b3L;
  private static final char SEPARATOR = '\u0000';
  private static final int HUNDRED = 100;

  private StableHash() {}

  /** Returns a 64-bit hash of a sequence of texts, with the bits evenly mixed. */
  public static long of(String... texts) {
    long hash = OFFSET_BASIS;
    for (String text : texts) {
      for (int i = 0; i < text.length(); i++) {
        hash = (hash ^ text.charAt(i)) * PRIME;
      }
      hash = (hash ^ SEPARATOR) * PRIME;
    }
    return mix(hash);
  }

  /** Returns a number from 0 to 99 that depends only on a sequence of texts. */
  public static int percentile(String... texts) {
    return (int) Long.remainderUnsigned(of(texts), HUNDRED);
  }

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
