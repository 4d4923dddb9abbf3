package org.skylarkfork.core.membership;

import java.util.List;
import java.util.Optional;

/** The daemons that this daemon holds to be there. */
public interface Members {

  /** Returns this daemon's own record. */
  Member self();

  /** Returns the daemons that are there, this one and suspected ones included, by name. */
  List<Member> live();

  /** Returns the live daemons of an availability zone, by name. */
  List<Member> liveIn(String zone);

  /** Returns a live daemon by name. */
  Optional<Member> find(String name);

  /** Returns whether a live daemon is suspected to be dead. */
  boolean isSuspected(String name);

  /**
   * Returns whether another running process has this daemon's name and is newer.
   *
   * <p>Such a daemon takes no new work and tells the others nothing.
   */
  boolean isSuperseded();
}
