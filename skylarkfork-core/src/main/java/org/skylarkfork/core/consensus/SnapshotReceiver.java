package org.skylarkfork.core.consensus;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.message.RaftMessage.AppendResponse;
import org.skylarkfork.core.message.RaftMessage.ChunkResponse;
import org.skylarkfork.core.message.RaftMessage.SnapshotChunk;

/** Assembles a snapshot from the leader's chunks and saves it before it is installed. */
final class SnapshotReceiver {

  /** Maximum size of a snapshot in bytes, so that a wrong length can't exhaust the memory. */
  private static final int MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024;

  private static final byte[] EMPTY_BUFFER = new byte[0];

  private final Replica replica;
  private final GroupCodec codec;
  private long index;
  private byte[] buffer = EMPTY_BUFFER;
  private int received;
  private @Nullable Snapshot saving;

  SnapshotReceiver(Replica replica, GroupCodec codec) {
    this.replica = replica;
    this.codec = codec;
  }

  /** Returns whether a complete snapshot is being saved. */
  boolean saving() {
    return saving != null;
  }

  void onChunk(String from, SnapshotChunk chunk, EventContext context) {
    if (chunk.index() <= replica.commitIndex()) {
      long synced = Math.min(chunk.index(), replica.durability.syncedIndex());
      AppendResponse response =
          new AppendResponse(
              replica.group, replica.term(), replica.instance(), true, synced, chunk.sentAt());
      replica.durability.sendAfterHardState(from, replica.term(), response, context);
      return;
    }
    if (saving == null) {
      collect(chunk, context);
    }
    int offset = chunk.index() == index ? received : 0;
    ChunkResponse response =
        new ChunkResponse(
            replica.group,
            replica.term(),
            replica.instance(),
            chunk.index(),
            offset,
            chunk.sentAt());
    replica.durability.sendAfterHardState(from, replica.term(), response, context);
  }

  private void collect(SnapshotChunk chunk, EventContext context) {
    if (chunk.length() < 0 || chunk.length() > MAX_SNAPSHOT_BYTES || chunk.offset() < 0) {
      return;
    }
    if (chunk.index() != index || chunk.length() != buffer.length) {
      index = chunk.index();
      buffer = new byte[chunk.length()];
      received = 0;
    }
    boolean fits = chunk.offset() + chunk.data().length <= buffer.length;
    if (chunk.offset() != received || !fits) {
      return;
    }
    System.arraycopy(chunk.data(), 0, buffer, received, chunk.data().length);
    received += chunk.data().length;
    if (received == buffer.length) {
      save(context);
    }
  }

  private void save(EventContext context) {
    Snapshot snapshot;
    try {
      snapshot = codec.decode(buffer);
    } catch (IllegalArgumentException damaged) {
      received = 0;
      return;
    }
    saving = snapshot;
    buffer = EMPTY_BUFFER;
    context.effect(new StorageEffect.SaveSnapshot(replica.group, snapshot));
  }

  /** Returns the snapshot that was being saved if it has the given index, or null otherwise. */
  @Nullable Snapshot saved(long savedIndex) {
    Snapshot snapshot = saving;
    if (snapshot == null || snapshot.index() != savedIndex) {
      return null;
    }
    saving = null;
    index = 0;
    received = 0;
    return snapshot;
  }
}
