package org.skylarkfork.runtime.packed;

import org.skylarkfork.core.message.CrashMessage;
import org.skylarkfork.core.message.PeerMessage;
import org.skylarkfork.core.message.RaftMessage;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.message.SlotMessage;
import org.skylarkfork.runtime.codec.CodecException;

/** Packing of the messages between the relay's daemons. */
public final class PeerMessagePacking implements Packing<PeerMessage> {

  @Override
  public Class<PeerMessage> type() {
    return PeerMessage.class;
  }

  @Override
  public void write(PeerMessage message, PackedWriter out) {
    if (message instanceof RaftMessage raft) {
      RaftMessages.write(raft, out);
    } else if (message instanceof RelayMessage relay) {
      RelayMessages.write(relay, out);
    } else if (message instanceof SlotMessage slot) {
      SlotMessages.write(slot, out);
    } else if (message instanceof CrashMessage crash) {
      RelayMessages.write(crash, out);
    } else {
      throw new CodecException(
          CodecException.Kind.UNSUPPORTED, message.getClass() + " isn't a type of the relay", null);
    }
  }

  @Override
  public PeerMessage read(PackedReader in) {
    return in.tagged(
        (tag, components) -> {
          if (tag < RelayMessages.FIRST_TAG) {
            return RaftMessages.read(tag, components, in);
          }
          return tag < SlotMessages.FIRST_TAG
              ? RelayMessages.read(tag, components, in)
              : SlotMessages.read(tag, components, in);
        });
  }
}
