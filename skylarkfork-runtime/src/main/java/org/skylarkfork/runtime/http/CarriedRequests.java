package org.skylarkfork.runtime.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The ids of the requests that a connection has carried, as hashes.
 *
 * <p>Ids can be long and are chosen by callers. Two ids with one hash are taken for the same.
 */
public final class CarriedRequests {

  /** Maximum number of ids, and so of requests that a connection carries. */
  public static final int MAX_IDS = 256;

  private static final int INITIAL_IDS = 4;

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  private long[] hashes = new long[INITIAL_IDS];
  private int count;

  /**
   * Adds the id of a request.
   *
   * @throws IllegalStateException if no more ids can be added
   */
  public void add(String id) {
    if (isFull()) {
      throw new IllegalStateException("the connection has carried its last request");
    }
    if (count == hashes.length) {
      hashes = Arrays.copyOf(hashes, count * 2);
    }
    hashes[count++] = hash(id);
  }

  /** Returns whether no more ids can be added. */
  public boolean isFull() {
    return count == MAX_IDS;
  }

  /** Returns the number of requests that were added. */
  public int count() {
    return count;
  }

  /** Returns whether the id was added. */
  public boolean contains(String id) {
    long hash = hash(id);
    for (int index = 0; index < count; index++) {
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
