package org.skylarkfork.core.crash;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.Output;

/** The replicated list of requests that all entries refuse. */
public interface QuarantineList {

  /** Returns the requests on the list, as of this daemon's replica. */
  List<RequestKey> keys();

  /**
   * Submits a command by which all entries refuse a request. The command is idempotent.
   *
   * @param key the request
   * @param now the present time
   * @param output receives the effects
   */
  void refuse(RequestKey key, Instant now, Output output);

  /**
   * Submits a command that lifts the quarantine of a request. The command is idempotent.
   *
   * @param key the request
   * @param now the present time
   * @param output receives the effects
   */
  void lift(RequestKey key, Instant now, Output output);
}
