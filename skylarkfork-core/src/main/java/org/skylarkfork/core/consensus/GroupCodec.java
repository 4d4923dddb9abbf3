package org.skylarkfork.core.consensus;

import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.Snapshot;

/** What consensus needs of the wire's codec. */
public interface GroupCodec {

  /** Returns the snapshot as bytes that {@link #decode} reads on another daemon. */
  byte[] encode(Snapshot snapshot);

  /**
   * Reads an encoded snapshot.
   *
   * @throws IllegalArgumentException if the bytes aren't a snapshot
   */
  Snapshot decode(byte[] bytes);

  /** Returns about how many bytes the command takes on the wire; needn't be exact. */
  int sizeOf(Command command);
}
