package org.skylarkfork.runtime.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried, as hashes.
 *
 * <p>Ids can be long and are chosen by callers. Two ids with one hash are taken for the same.
 */
final class CarriedRequests {

  /** Maximum number of ids that are kept. */
  static final int MAX_IDS = 256;

  private static final int INITIAL_IDS = 4;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private long[] hashes = new long[INITIAL_IDS];
  private int count;

  /** Adds the id of a request; beyond the maximum, it takes the place of the oldest. */
  void add(String id) {
    if (count >= hashes.length && hashes.length < MAX_IDS) {
      hashes = Arrays.copyOf(hashes, hashes.length * 2);
    }
    hashes[count % hashes.length] = hash(id);
    count++;
  }

  /** Returns the number of requests that were added. */
  int count() {
    return count;
  }

  /** Returns whether the id is one of those that are kept. */
  boolean contains(String id) {
    long hash = hash(id);
    int kept = Math.min(count, hashes.length);
    for (int index = 0; index < kept; index++) {
      if (hashes[index] == hash) {
        return true;
      }
    }
    return false;
  }

  private static long hash(String id) {
    long hash = FNV_OFFSET;
    for (byte part : id.getBytes(StandardCharsets.UTF_8)) {
      hash = (hash ^ part) * FNV_PRIME;
    }
    return hash;
  }
}
