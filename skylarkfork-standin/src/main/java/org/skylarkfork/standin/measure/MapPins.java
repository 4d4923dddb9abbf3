package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.session.SessionPins;

/**
 * Pins in a map from the session to the version that it began with.
 *
 * @param pins the pins
 */
public record MapPins(Map<String, ModelVersion> pins) implements SessionPins {

  @Override
  public Lookup lookup(CallerRequest request, String team, Instant now) {
    return Lookup.KNOWN;
  }

  @Override
  public Optional<ModelVersion> pinned(String team, String session, String model) {
    return Optional.ofNullable(pins.get(session)).filter(pin -> pin.model().equals(model));
  }

  @Override
  public String pin(String team, String session, ModelVersion version, Instant now) {
    pins.putIfAbsent(session, version);
    return "";
  }
}
