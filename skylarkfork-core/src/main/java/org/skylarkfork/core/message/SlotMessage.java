package org.skylarkfork.core.message;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Messages between entries and the scheduler that keeps the shared queue of a plain service. */
public sealed interface SlotMessage extends PeerMessage {

  /**
   * Asks for a slot at an upstream of a service; answered by {@link SlotAnswer}.
   *
   * @param number number of the ask, which the sending entry uses only once
   * @param service service that the call is for
   * @param zone availability zone of the sending entry
   * @param team name of the caller's team, or empty for none
   * @param rank rank of the call; 0 is the most urgent
   * @param objectiveMillis time until the call's objective ends, in milliseconds; 0 if it has ended
   * @param leftMillis time until the call's deadline, in milliseconds
   * @param contentKey hash of the call's content, the same if its caller sends it again
   * @param versions versions that may receive the call
   * @param excluded ids of upstreams of these versions that may not receive the call
   */
  record SlotAsk(
      long number,
      String service,
      String zone,
      String team,
      int rank,
      int objectiveMillis,
      int leftMillis,
      long contentKey,
      List<String> versions,
      List<String> excluded)
      implements SlotMessage {

    /** Copies the lists. */
    public SlotAsk {
      versions = List.copyOf(versions);
      excluded = List.copyOf(excluded);
    }
  }

  /**
   * A scheduler's answer to a {@link SlotAsk}.
   *
   * @param number number of the ask
   * @param outcome what the scheduler decided
   * @param upstream id of the upstream whose slot is granted, or null
   * @param waitMillis time within which another answer follows if the call waits, in milliseconds;
   *     else 0
   * @param retryAfterMillis retry delay to tell a refused caller, in milliseconds; 0 for none
   */
  record SlotAnswer(
      long number,
      SlotOutcome outcome,
      @Nullable String upstream,
      int waitMillis,
      int retryAfterMillis)
      implements SlotMessage {}

  /** What a scheduler decided on a call. */
  enum SlotOutcome {
    /** The call may be sent to the named upstream. */
    GRANTED,
    /** The call waits; another answer follows. */
    QUEUED,
    /** The call can't begin in time. */
    REFUSED,
    /** The scheduler knows no upstream of the service that may receive the call. */
    UNKNOWN_SERVICE
  }

  /**
   * Reports the end of a call that was granted a slot or waits for one.
   *
   * @param number number of the ask
   * @param progress how the call ended
   * @param millis time from the send to the first byte of the answer for {@code ENDED}, in
   *     milliseconds; else 0
   * @param backoffMillis time for which the upstream asked the entry to send nothing, in
   *     milliseconds; 0 if it did not
   */
  record SlotNews(long number, SlotProgress progress, int millis, int backoffMillis)
      implements SlotMessage {}

  /** How a call that was granted a slot or waits for one has ended. */
  enum SlotProgress {
    /** The upstream has answered. */
    ENDED,
    /** The attempt failed at the upstream. */
    FAILED,
    /** The upstream refused the call because it is full. */
    FULL,
    /** No connection to the upstream could be opened. */
    UNREACHABLE,
    /** The entry ended the attempt because the upstream was silent for too long. */
    SILENT,
    /** The caller left, or the entry doesn't use the slot. */
    CANCELLED
  }
}
