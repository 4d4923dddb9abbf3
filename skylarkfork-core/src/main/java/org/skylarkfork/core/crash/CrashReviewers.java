package org.skylarkfork.core.crash;

import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.message.CrashMessage;

/** The daemons that decide which requests crash the upstreams that run them. */
public interface CrashReviewers {

  /** Returns the peer names of the present reviewers; empty while none is known. */
  List<String> peers();

  /**
   * Sends a message to all reviewers.
   *
   * @param message the message
   * @param output receives the effects
   */
  void report(CrashMessage message, Output output);
}
