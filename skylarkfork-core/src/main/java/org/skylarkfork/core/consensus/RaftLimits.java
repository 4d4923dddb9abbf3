package org.skylarkfork.core.consensus;

/**
 * Limits of the replicated groups, the same on each daemon.
 *
 * @param snapshotEntries number of applied entries after which a snapshot is taken
 * @param snapshotBytes size of the commands of applied entries after which a snapshot is taken, in
 *     bytes
 * @param trailingEntries number of entries before a snapshot that stay in memory for replicas that
 *     lag slightly
 * @param trailingBytes maximum size of the commands of these entries in bytes
 * @param maxAppendEntries maximum number of entries in one message
 * @param maxAppendBytes maximum size of the commands in one message in bytes, unless a single
 *     command is larger
 * @param maxInFlightEntries maximum number of entries sent to a replica and not yet acknowledged
 * @param maxInFlightBytes size of the commands sent to a replica and not yet acknowledged, in
 *     bytes, from which on no more are sent to it
 * @param maxChunkBytes maximum size of a snapshot chunk in one message in bytes
 * @param maxUncommittedEntries maximum number of uncommitted entries; submissions beyond it are
 *     refused
 * @param maxUncommittedBytes maximum size of uncommitted commands in bytes
 * @param maxPendingSubmissions maximum number of this daemon's submissions that wait for a result
 */
public record RaftLimits(
    int snapshotEntries,
    long snapshotBytes,
    int trailingEntries,
    long trailingBytes,
    int maxAppendEntries,
    int maxAppendBytes,
    int maxInFlightEntries,
    long maxInFlightBytes,
    int maxChunkBytes,
    int maxUncommittedEntries,
    int maxUncommittedBytes,
    int maxPendingSubmissions) {

  /** Default limits. */
  public static final RaftLimits DEFAULT =
      new RaftLimits(
          4096,
          16 * 1024 * 1024,
          512,
          4 * 1024 * 1024,
          256,
          256 * 1024,
          1024,
          8 * 1024 * 1024,
          64 * 1024,
          8192,
          16 * 1024 * 1024,
          16384);

  /** Returns the same limits, except for the entries between snapshots and those kept in memory. */
  public RaftLimits withSnapshots(int entries, int trailing) {
    return new RaftLimits(
        entries,
        snapshotBytes,
        trailing,
        trailingBytes,
        maxAppendEntries,
        maxAppendBytes,
        maxInFlightEntries,
        maxInFlightBytes,
        maxChunkBytes,
        maxUncommittedEntries,
        maxUncommittedBytes,
        maxPendingSubmissions);
  }
}
