package org.skylarkfork.core.crash;

import java.time.Instant;
import java.util.List;
import org.skylarkfork.core.Output;

/** The replicated list of requests that all entries refuse. */
public interface QuarantineList {

  /** Returns the requests on the list, as far as this daemon knows. */
  List<RequestKey> keys();

  /**
   * Asks for a request to be refused by all entries; may be asked again.
   *
   * @param key the request
   * @param now the present time
   * @param output takes what is to be done
   */
  void refuse(RequestKey key, Instant now, Output output);

  /**
   * Asks for a request to be let through again; may be asked again.
   *
   * @param key the request
   * @param now the present time
   * @param output takes what is to be done
   */
  void lift(RequestKey key, Instant now, Output output);
}
