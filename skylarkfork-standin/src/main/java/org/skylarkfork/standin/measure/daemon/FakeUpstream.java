package org.skylarkfork.standin.measure.daemon;

import org.skylarkfork.core.upstream.Announcement;

/** What engines and servers of plain services have in common. */
interface FakeUpstream {

  /** Returns the name of the upstream. */
  String id();

  /** Returns what is wrong with it; set by the run. */
  UpstreamFaults faults();

  /** Remembers the present load for the next announcement. */
  void lookAtLoad();

  /** Returns what it says of itself, with the load that was last looked at. */
  Announcement announcement();
}
