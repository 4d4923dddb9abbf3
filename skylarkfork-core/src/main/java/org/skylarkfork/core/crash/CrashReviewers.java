package org.skylarkfork.core.crash;

import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.message.CrashMessage;

/** The daemons that judge which requests end their upstreams. */
public interface CrashReviewers {

  /** Returns the peer names of those that are to be told now; empty while none is known. */
  List<String> peers();

  /**
   * Tells all of them.
   *
   * @param message what they are told
   * @param output takes what is to be done
   */
  void report(CrashMessage message, Output output);
}
