package org.skylarkfork.core.waiting;

import java.util.List;

/** The upstreams of plain services that a scheduler knows. */
public interface SlotDirectory {

  /**
   * Returns the upstreams of a service that accept new work; empty if the service is unknown or has
   * engines.
   */
  List<SlotUpstream> upstreams(String service);
}
