package org.skylarkfork.core.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Hashes that are the same on each daemon, and rendezvous hashing based on them. */
public final class Hashes {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private Hashes() {}

  /** Returns the FNV-1a hash of a text's UTF-16 code units, finalized by {@link #mix}. */
  public static long of(String text) {
    long hash = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** Mixes a number over all 64 bits with the finalizer of MurmurHash3. */
  public static long mix(long value) {
    long hash = value;
    hash = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
    hash = (hash ^ (hash >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return hash ^ (hash >>> 33);
  }

  /** Returns the candidates in rendezvous order for a key; removing one reassigns only its keys. */
  public static List<String> rendezvous(String key, Collection<String> candidates) {
    long keyHash = of(key);
    return candidates.stream()
        .map(name -> new Weighted(name, mix(keyHash ^ Long.rotateLeft(of(name), 31))))
        .sorted(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::name))
        .map(Weighted::name)
        .toList();
  }

  private record Weighted(String name, long weight) {}
}
