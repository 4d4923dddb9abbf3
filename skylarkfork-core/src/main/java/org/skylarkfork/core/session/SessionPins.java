package org.skylarkfork.core.session;

import java.time.Instant;
import java.util.Optional;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.request.CallerRequest;

/** Remembers for each session and model the version that it keeps, through any entry. */
public interface SessionPins {

  /**
   * Looks for the pins of a request's session: here, in its token, and at the owners.
   *
   * <p>Where the owners must be asked, the answer is {@code PENDING} and {@code
   * SessionEvent.PinsResolved} follows within a bounded time.
   *
   * @param request a request with a session
   * @param team name of its team
   * @param now the present time
   */
  Lookup lookup(CallerRequest request, String team, Instant now);

  /** Returns the version of a model that a session keeps, as far as known here. */
  Optional<ModelVersion> pinned(String team, String session, String model);

  /**
   * Pins a session to a version from its first answer on, here and at the owners.
   *
   * @param team name of the team
   * @param session the session
   * @param version version to keep
   * @param now the present time
   * @return the signed token for the caller
   */
  String pin(String team, String session, ModelVersion version, Instant now);

  /** What a lookup gave. */
  enum Lookup {
    /** The pins are known here, none included. */
    KNOWN,
    /** The owners are asked and an event follows. */
    PENDING
  }
}
