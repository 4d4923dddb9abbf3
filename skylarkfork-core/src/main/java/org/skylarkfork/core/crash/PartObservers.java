package org.skylarkfork.core.crash;

import org.skylarkfork.core.Output;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;

/** The entries, which know the answers to requests with a suspected part. */
public interface PartObservers {

  /**
   * Asks all entries what they observed of suspected parts.
   *
   * @param question the parts
   * @param output receives the effects
   */
  void ask(PartsSuspected question, Output output);
}
