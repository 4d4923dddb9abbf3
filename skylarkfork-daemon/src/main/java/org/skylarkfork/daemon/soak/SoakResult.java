package org.skylarkfork.daemon.soak;

import java.util.List;

/**
 * What a soak has seen.
 *
 * @param requests requests that were sent
 * @param whole those that got their whole answer
 * @param processes processes that took part
 * @param faults the faults, with their times
 * @param disksLost control VMs' disks that were lost, each while the group bore it
 * @param disksSpared disks that were to be lost while the group never bore it
 * @param changes configurations that were accepted
 * @param secondAnswers runs that upstreams answered twice
 * @param findings what must not be; empty if every promise was kept
 */
public record SoakResult(
    int requests,
    int whole,
    int processes,
    List<String> faults,
    int disksLost,
    int disksSpared,
    int changes,
    int secondAnswers,
    List<String> findings) {

  /** Copies the lists. */
  public SoakResult {
    faults = List.copyOf(faults);
    findings = List.copyOf(findings);
  }
}
