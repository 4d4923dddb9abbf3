package org.skylarkfork.core.waiting;

import java.util.List;

/**
 * A call for which an entry needs a slot; the components are those of the message to the scheduler.
 *
 * @param request number of the entry's request
 * @param service service that the call is for
 * @param zone availability zone of the entry
 * @param team name of the caller's team, or empty for none
 * @param rank rank of the call; 0 is the most urgent
 * @param objectiveMillis time until the call's objective ends, in milliseconds; 0 if it has ended
 * @param leftMillis time until the call's deadline, in milliseconds
 * @param contentKey hash of the call's content
 * @param versions versions that may receive the call
 * @param excluded ids of upstreams of these versions that may not receive the call
 */
public record SlotRequest(
    long request,
    String service,
    String zone,
    String team,
    int rank,
    int objectiveMillis,
    int leftMillis,
    long contentKey,
    List<String> versions,
    List<String> excluded) {

  /** Copies the lists. */
  public SlotRequest {
    versions = List.copyOf(versions);
    excluded = List.copyOf(excluded);
  }
}
