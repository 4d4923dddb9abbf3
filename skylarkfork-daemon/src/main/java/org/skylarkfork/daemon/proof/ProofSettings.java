package org.skylarkfork.daemon.proof;

import java.nio.file.Path;
import java.time.Duration;
import java.util.List;

/**
 * What a run of the proof does.
 *
 * @param folder takes data folders and time lines; must exist and be empty
 * @param seed decides the load and the order of faults
 * @param duration how long the load lasts
 * @param entries how many daemons there are besides the three voters, at least 1
 * @param ratePerSecond requests a second
 * @param faults the disturbances; each comes once before any comes again, none if empty
 * @param rounds how often all disturbances come; 0 for as long as the load lasts
 */
public record ProofSettings(
    Path folder,
    long seed,
    Duration duration,
    int entries,
    double ratePerSecond,
    List<FaultName> faults,
    int rounds) {

  /** Copies the faults. */
  public ProofSettings {
    faults = List.copyOf(faults);
  }
}
