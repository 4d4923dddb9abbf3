package org.skylarkfork.core.session;

import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The version of one model that a session keeps.
 *
 * @param key the session
 * @param version model and version
 * @param generation 0 for the first pin, one more each time a known pin was replaced on purpose
 * @param pinnedAtMillis when it was pinned, in milliseconds since 1970 by the writer's clock
 * @param writer name of the daemon that pinned it
 */
public record SessionPin(
    SessionKey key, ModelVersion version, long generation, long pinnedAtMillis, String writer) {

  /** Returns the name of the model. */
  public String model() {
    return version.model();
  }

  /**
   * Returns whether this pin holds against another of the same session and model.
   *
   * <p>Two entries may pin a session at once, and their messages reach its owners in different
   * orders. As each owner compares the same numbers, all keep the same pin: of the same generation
   * the one that was written first, and for equal times the one of the lesser writer.
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
