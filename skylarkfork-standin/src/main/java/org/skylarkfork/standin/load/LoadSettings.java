package org.skylarkfork.standin.load;

import java.time.Duration;
import java.util.List;

/**
 * What the stand-in caller sends.
 *
 * @param entries IP number and port of entries to ask first
 * @param teamKeys keys of the teams; each request takes one of them
 * @param requests how many requests, in all
 * @param ratePerSecond requests a second, or 0 to send all at once, as at a race gun
 * @param drafts weight of drafts in the mix
 * @param lookups weight of idempotent lookups in the mix
 * @param issues weight of non-idempotent calls in the mix
 * @param sessions how many sessions the drafts belong to; 0 for none
 * @param model model that drafts name
 * @param lookupService plain service of the lookups
 * @param issueService plain service of the non-idempotent calls
 * @param deadline deadline of each request
 * @param resends how often a request that was not run, or whose answer was lost, is sent again
 * @param seed seed of the mix
 */
public record LoadSettings(
    List<String> entries,
    List<String> teamKeys,
    int requests,
    double ratePerSecond,
    int drafts,
    int lookups,
    int issues,
    int sessions,
    String model,
    String lookupService,
    String issueService,
    Duration deadline,
    int resends,
    long seed) {

  /** Copies the lists. */
  public LoadSettings {
    entries = List.copyOf(entries);
    teamKeys = List.copyOf(teamKeys);
  }
}
