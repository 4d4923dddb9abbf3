package org.skylarkfork.runtime.node;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.session.SessionPins;

/** Pins of one process that are forgotten at its end. */
final class LocalPins implements SessionPins {

  private final Map<String, ModelVersion> pins = new HashMap<>();

  @Override
  public Lookup lookup(CallerRequest request, String team, Instant now) {
    return Lookup.KNOWN;
  }

  @Override
  public Optional<ModelVersion> pinned(String team, String session, String model) {
    return Optional.ofNullable(pins.get(key(team, session, model)));
  }

  @Override
  public String pin(String team, String session, ModelVersion version, Instant now) {
    pins.put(key(team, session, version.model()), version);
    return "";
  }

  private static String key(String team, String session, String model) {
    return team + '/' + session + '/' + model;
  }
}
