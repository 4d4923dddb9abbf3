package org.skylarkfork.runtime.storage;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.HardState;
import org.skylarkfork.core.command.LogEntry;
import org.skylarkfork.core.effect.StorageEffect;

/**
 * One change of a group's log, as stored.
 *
 * @param hardState new hard state, or null if it is unchanged
 * @param truncateFrom first index to remove before the append, or 0 to remove none
 * @param entries entries to append
 */
record LogWrite(@Nullable HardState hardState, long truncateFrom, List<LogEntry> entries) {

  static LogWrite of(StorageEffect.Persist persist) {
    return new LogWrite(persist.hardState(), persist.truncateFrom(), persist.entries());
  }
}
