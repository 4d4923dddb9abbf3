package org.skylarkfork.standin.announce;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A change in the prefix cache of an engine.
 *
 * @param sequence rises by one with each change; a gap means that reports were lost
 * @param kind what happened to the prefix
 * @param prefix the hash of the prefix as 16 hexadecimal digits
 */
public record CacheEvent(long sequence, Kind kind, String prefix) {

  /** What happens to a prefix. */
  public enum Kind {
    /** The prefix is in the cache now. */
    @JsonProperty("stored")
    STORED,
    /** The prefix has left the cache. */
    @JsonProperty("evicted")
    EVICTED
  }
}
