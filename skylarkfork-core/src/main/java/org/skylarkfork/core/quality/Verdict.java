package org.skylarkfork.core.quality;

import java.time.Instant;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * A decision on whether a version is suspect, on which all entries converge.
 *
 * @param version the version
 * @param number number that increases with each change; the greater number overrides
 * @param suspect whether the version is suspect
 * @param reason evidence or decision behind the verdict, as a text for operators
 * @param since when the verdict was reached
 */
public record Verdict(
    ModelVersion version, long number, boolean suspect, String reason, Instant since) {

  /** Returns whether this verdict overrides another on the same version. */
  boolean overrides(Verdict other) {
    if (number != other.number) {
      return number > other.number;
    }
    return suspect && !other.suspect;
  }
}
