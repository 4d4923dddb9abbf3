package org.skylarkfork.core.membership;

import java.time.Duration;
import java.time.Instant;
import java.util.Set;
import java.util.TreeSet;

/** A suspicion that runs: the more daemons share it, the shorter the time to refute it. */
final class Suspicion {

  private final MembershipSettings settings;
  private final Instant since;
  private final Set<String> accusers = new TreeSet<>();

  Suspicion(MembershipSettings settings, Instant since, String accuser) {
    this.settings = settings;
    this.since = since;
    accusers.add(accuser);
  }

  /** Returns whether this accuser was not counted before and still shortens the time. */
  boolean confirm(String accuser) {
    return accusers.size() <= settings.confirmations() && accusers.add(accuser);
  }

  /** Returns when the suspected daemon counts as dead. */
  Instant deadline(LocalHealth health) {
    double confirmations = Math.min(accusers.size() - 1, settings.confirmations());
    double confirmedShare = Math.log(confirmations + 1) / Math.log(settings.confirmations() + 1.0);
    long adjustableMillis = settings.suspicionMax().minus(settings.suspicionMin()).toMillis();
    Duration time =
        settings.suspicionMax().minusMillis(Math.round(confirmedShare * adjustableMillis));
    return since.plus(health.scale(time));
  }
}
