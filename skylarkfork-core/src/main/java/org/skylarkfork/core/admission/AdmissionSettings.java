package org.skylarkfork.core.admission;

/**
 * Bounds of the queues.
 *
 * @param maxWaiting requests that wait at this entry at the same time
 * @param maxWaitingPerTeam requests of one team that wait in one lane
 */
public record AdmissionSettings(int maxWaiting, int maxWaitingPerTeam) {

  /** Bounds for an entry VM of a few cores and 1 GB. */
  public static final AdmissionSettings DEFAULT = new AdmissionSettings(5000, 1000);
}
