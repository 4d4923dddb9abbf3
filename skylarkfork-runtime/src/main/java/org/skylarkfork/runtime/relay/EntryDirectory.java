package org.skylarkfork.runtime.relay;

import java.util.List;

/** Knows the entries that callers may use. */
public interface EntryDirectory {

  /**
   * Returns where callers may connect, entries of their zone first; empty if none is known.
   *
   * @param zone the caller's availability zone
   */
  List<String> callerAddresses(String zone);
}
