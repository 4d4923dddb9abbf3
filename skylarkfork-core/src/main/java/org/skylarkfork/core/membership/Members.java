package org.skylarkfork.core.membership;

import java.util.List;
import java.util.Optional;

/** View of the live daemons. */
public interface Members {

  /** Returns this daemon's own record. */
  Member self();

  /** Returns the live daemons by name, including this one and suspected ones. */
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
   * <p>A superseded daemon accepts no new work and sends no updates to the others.
   */
  boolean isSuperseded();
}
