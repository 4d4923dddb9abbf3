package org.skylarkfork.core.admission;

/**
 * Bounds of the admission queues.
 *
 * @param maxWaiting maximum number of queued requests at this entry
 * @param maxWaitingPerTeam maximum number of queued requests of one team in one lane
 */
public record AdmissionSettings(int maxWaiting, int maxWaitingPerTeam) {

  /** Bounds for an entry VM of a few cores and 1 GB. */
  public static final AdmissionSettings DEFAULT = new AdmissionSettings(5000, 1000);
}
