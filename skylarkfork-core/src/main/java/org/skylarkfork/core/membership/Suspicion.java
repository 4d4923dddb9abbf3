package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;

/** A pending suspicion: the more daemons confirm it, the shorter the time to refute it. */
final class Suspicion {

  private final MembershipSettings settings;
  private final Instant since;
  private final Set<String> accusers = new TreeSet<>();

  Suspicion(MembershipSettings settings, Instant since, String accuser) {
    this.settings = settings;
    this.since = since;
    accusers.add(accuser);
  }

  /**
   * Adds an accuser and returns whether it is new and shortens the time to refute the suspicion.
   */
  boolean confirm(String accuser) {
    return accusers.size() <= settings.confirmations() && accusers.add(accuser);
  }

  /** Returns the time at which the suspected daemon is considered dead. */
  Instant deadline(LocalHealth health) {
    double confirmations = Math.min(accusers.size() - 1, settings.confirmations());
    double confirmedShare = Math.log(confirmations + 1) / Math.log(settings.confirmations() + 1.0);
    long adjustableMillis = settings.suspicionMax().minus(settings.suspicionMin()).toMillis();
    Duration time =
        settings.suspicionMax().minusMillis(Math.round(confirmedShare * adjustableMillis));
    return since.plus(health.scale(time));
  }
}
