package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.Arrays;
import org.skylarkfork.core.message.RaftMessage.SnapshotChunk;

/** Transfer of a snapshot to one replica, one chunk at a time. */
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

  /** Continues at the offset that the replica reported. */
  void acknowledged(int bytes) {
    offset = Math.min(bytes, encoded.length);
  }

  /** Returns whether the replica has received all bytes and only has to save them. */
  boolean isComplete() {
    return offset == encoded.length;
  }

  void send(Replica replica, String node, EventContext context) {
    int end = Math.min(encoded.length, offset + replica.settings.limits().maxChunkBytes());
    byte[] data = Arrays.copyOfRange(encoded, offset, end);
    lastSentAt = context.now();
    context.send(
        node,
        new SnapshotChunk(
            replica.group, replica.term(), index, offset, encoded.length, data, context.now()));
  }

  /** Resends the chunk if it wasn't answered within a heartbeat interval. */
  void resend(Replica replica, String node, EventContext context) {
    if (!context.now().isBefore(lastSentAt.plus(replica.settings.timeouts().heartbeat()))) {
      send(replica, node, context);
    }
  }
}
