package org.skylarkfork.core.upstream;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;

/**
 * The directory of upstreams that this daemon knows. Upstreams that have ended or are lost are not
 * part of it, and drained or leaving ones are not offered for new work.
 */
public interface UpstreamDirectory {

  /** Returns the engines that may accept new work for a model and version, ordered by id. */
  List<Announcement> engines(ModelVersion version, Instant now);

  /** Returns the upstreams that may accept new work for a plain service, ordered by id. */
  List<Announcement> services(String service, Instant now);

  /**
   * Returns the newest announcement of a known upstream, whether it is leaving or not; empty if it
   * isn't known.
   */
  Optional<Announcement> find(String id);

  /** Returns all known upstreams, including leaving ones, ordered by id. */
  List<Announcement> all();
}
