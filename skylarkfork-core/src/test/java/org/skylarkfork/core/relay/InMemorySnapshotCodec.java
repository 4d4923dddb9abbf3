package org.skylarkfork.core.relay;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.Snapshot;
import org.skylarkfork.core.consensus.GroupCodec;

/** Keeps snapshots in memory and encodes each one as its number. */
final class InMemorySnapshotCodec implements GroupCodec {
  private final Map<String, Snapshot> snapshots = new LinkedHashMap<>();

  @Override
  public byte[] encode(Snapshot snapshot) {
    String number = String.valueOf(snapshots.size());
    snapshots.put(number, snapshot);
    return number.getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public Snapshot decode(byte[] bytes) {
    return snapshots.get(new String(bytes, StandardCharsets.UTF_8));
  }

  @Override
  public int sizeOf(Command command) {
    return 100;
  }
}
