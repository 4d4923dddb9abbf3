package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.Arrays;
import org.skylarkfork.core.message.RaftMessage.SnapshotChunk;

/** A snapshot on its way to one replica, one chunk at a time. */
final class SnapshotSender {

  private final long index;
  private final byte[] encoded;
  private int offset;
  private Instant lastSentAt = Instant.EPOCH;

  SnapshotSender(long index, byte[] encoded) {
    this.index = index;
    this.encoded = encoded;
  }

  long index() {
    return index;
  }

  /** Goes on where the replica says. */
  void acknowledged(int bytes) {
    offset = Math.min(bytes, encoded.length);
  }

  /** Returns whether all bytes have arrived, so that only the replica's disk is waited for. */
  boolean isComplete() {
    return offset == encoded.length;
  }

  void send(Replica replica, String node, EventContext context) {
    int end = Math.min(encoded.length, offset + replica.settings.maxChunkBytes());
    byte[] data = Arrays.copyOfRange(encoded, offset, end);
    lastSentAt = context.now();
    context.send(
        node,
        new SnapshotChunk(
            replica.group, replica.term(), index, offset, encoded.length, data, context.now()));
  }

  /** Sends the chunk again if it wasn't answered for a heartbeat. */
  void resend(Replica replica, String node, EventContext context) {
    if (!context.now().isBefore(lastSentAt.plus(replica.settings.heartbeat()))) {
      send(replica, node, context);
    }
  }
}
