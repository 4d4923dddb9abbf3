package org.skylarkfork.core.consensus;

import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.Snapshot;

/** Wire encoding of snapshots and commands, as consensus needs it. */
public interface GroupCodec {

  /** Encodes a snapshot so that {@link #decode} can read it on another daemon. */
  byte[] encode(Snapshot snapshot);

  /**
   * Decodes a snapshot.
   *
   * @throws IllegalArgumentException if the bytes aren't a snapshot
   */
  Snapshot decode(byte[] bytes);

  /** Returns the approximate encoded size of a command in bytes. */
  int sizeOf(Command command);
}
