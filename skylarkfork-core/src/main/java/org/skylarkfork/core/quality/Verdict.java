package org.skylarkfork.core.quality;

import java.time.Instant;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * Whether a version is suspect, as all entries come to agree.
 *
 * @param version the version
 * @param number rises with each change; the greater number holds
 * @param suspect whether it is suspect
 * @param reason what shows it
 * @param since when it was found
 */
public record Verdict(
    ModelVersion version, long number, boolean suspect, String reason, Instant since) {

  /** Returns whether this verdict holds against another on the same version. */
  boolean overrides(Verdict other) {
    if (number != other.number) {
      return number > other.number;
    }
    return suspect && !other.suspect;
  }
}
