package org.skylarkfork.runtime.relay;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.runtime.codec.BinaryCodec;
import org.skylarkfork.runtime.packed.CommandPacking;
import org.skylarkfork.runtime.packed.PackedCodec;
import org.skylarkfork.runtime.packed.Packing;
import org.skylarkfork.runtime.packed.PeerMessagePacking;
import org.skylarkfork.runtime.packed.SnapshotPacking;
import org.skylarkfork.runtime.storage.DiskStorage;
import org.skylarkfork.runtime.transport.PeerTransport;

/** The codec of all that the relay's daemons send to each other and store. */
final class RelayCodec {

  private RelayCodec() {}

  static BinaryCodec create() {
    List<Packing<?>> packings = new ArrayList<>();
    packings.add(new PeerMessagePacking());
    packings.add(new CommandPacking());
    packings.add(new SnapshotPacking());
    packings.add(PeerTransport.handshakePacking());
    packings.addAll(DiskStorage.recordPackings());
    return new PackedCodec(packings);
  }
}
