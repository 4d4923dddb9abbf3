package org.skylarkfork.core.upstream;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;

/** The upstreams that this daemon knows; those that left, fell silent or are drained are out. */
public interface UpstreamDirectory {

  /** Returns the engines that may take new work for a model and version, in the order of ids. */
  List<Announcement> engines(ModelVersion version, Instant now);

  /** Returns the upstreams that may take new work for a plain service, in the order of ids. */
  List<Announcement> services(String service, Instant now);

  /** Returns the newest announcement of an upstream that is still known, leaving or not. */
  Optional<Announcement> find(String id);

  /** Returns all known upstreams, leaving ones too, in the order of ids. */
  List<Announcement> all();
}
