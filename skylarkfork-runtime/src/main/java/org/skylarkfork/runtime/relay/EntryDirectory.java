package org.skylarkfork.runtime.relay;

import java.util.List;

/** Directory of the entries that callers may use. */
public interface EntryDirectory {

  /**
   * Returns the caller addresses of the known entries, those in the given zone first; empty if no
   * entry is known.
   *
   * @param zone the caller's availability zone
   * @param requester identifies the caller; empty if unknown
   */
  List<String> callerAddresses(String zone, String requester);
}
