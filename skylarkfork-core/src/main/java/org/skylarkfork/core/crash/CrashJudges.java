package org.skylarkfork.core.crash;

import java.util.List;

/** The daemons that judge which requests end their upstreams. */
@FunctionalInterface
public interface CrashJudges {

  /** Returns the peer names of those that are to be told now; empty while none is known. */
  List<String> peers();
}
