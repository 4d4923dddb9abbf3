package org.skylarkfork.core.session;

import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The version of a model to which a session is pinned.
 *
 * @param key the session
 * @param version model and version
 * @param generation 0 for the first pin, incremented by one each time a known pin is replaced
 * @param pinnedAtMillis time of the pin in milliseconds since 1970 by the writer's clock
 * @param writer name of the daemon that created the pin
 */
public record SessionPin(
    SessionKey key, ModelVersion version, long generation, long pinnedAtMillis, String writer) {

  /** Returns the name of the model. */
  public String model() {
    return version.model();
  }

  /**
   * Returns whether this pin overrides another one of the same session and model.
   *
   * <p>Two entries may pin a session concurrently, and their messages may reach the owners in
   * different orders. All owners compare the same values and therefore keep the same pin: the one
   * with the higher generation, then the earlier time, then the lesser name of the writer, then the
   * lesser version.
   */
  public boolean overrides(SessionPin other) {
    if (generation != other.generation) {
      return generation > other.generation;
    }
    if (pinnedAtMillis != other.pinnedAtMillis) {
      return pinnedAtMillis < other.pinnedAtMillis;
    }
    int byWriter = writer.compareTo(other.writer);
    return byWriter != 0 ? byWriter < 0 : version.compareTo(other.version) < 0;
  }
}
