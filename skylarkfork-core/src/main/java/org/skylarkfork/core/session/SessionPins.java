package org.skylarkfork.core.session;

import java.time.Instant;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;

/** Stores for each session and model the pinned version, which is the same at all entries. */
public interface SessionPins {

  /**
   * Looks up the pins of a request's session: in the local cache, in its token and at the owners.
   *
   * <p>If the owners must be queried, the result is {@code PENDING}, and {@code
   * SessionEvent.PinsResolved} follows within a bounded time.
   *
   * @param request the request; without a session the result is {@code KNOWN}
   * @param team name of the team that sent the request
   * @param now the current time
   */
  Lookup lookup(CallerRequest request, String team, Instant now);

  /** Returns the version of a model that a session is pinned to, or empty if unknown here. */
  Optional<ModelVersion> pinned(String team, String session, String model);

  /**
   * Pins a session to a version, in the local cache and at the owners.
   *
   * @param team name of the team
   * @param session name of the session
   * @param version version to pin
   * @param now the current time
   * @return the signed token for the caller
   */
  String pin(String team, String session, ModelVersion version, Instant now);

  /** Result of a lookup. */
  enum Lookup {
    /** The session's pins, or the fact that it has none, are known here. */
    KNOWN,
    /** The owners are being queried, and an event follows. */
    PENDING
  }
}
