package org.skylarkfork.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.OperatorEffect.AwaitedEntry;
import org.skylarkfork.core.effect.OperatorEffect.SendInForce;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.ConfigurationMessage.LaggingEntry;

/**
 * Tells on the leader which revisions are in force everywhere.
 *
 * <p>A revision is in force once no daemon can take new work under an older one. Leases that an
 * earlier leader granted aren't known here; all of them were granted before this leader took
 * office, so they have ended one longest lease after it.
 */
final class InForce {

  private static final int MOST_AWAITED = 50;
  private static final double MILLIS = 1000.0;

  private final ConfigurationSettings settings;
  private final ConfigurationMachine machine;
  private final Subscribers subscribers;
  private Instant knowsAllAt = Instant.MAX;
  private long told;

  InForce(ConfigurationSettings settings, ConfigurationMachine machine, Subscribers subscribers) {
    this.settings = settings;
    this.machine = machine;
    this.subscribers = subscribers;
  }

  /** Takes note that this daemon leads from now on; older revisions aren't told of again. */
  void tookOffice(Instant now) {
    told = machine.configuration().revision();
    knowsAllAt = now.plus(settings.longestLease());
  }

  SendInForce status(String callId, long revision, Instant now) {
    List<LaggingEntry> lagging = subscribers.lagging(revision, now);
    List<AwaitedEntry> awaited = new ArrayList<>();
    for (LaggingEntry entry : lagging.subList(0, Math.min(MOST_AWAITED, lagging.size()))) {
      awaited.add(new AwaitedEntry(entry.node(), entry.revision(), now.plus(entry.leaseLeft())));
    }
    @Nullable Instant unknownUntil = now.isBefore(knowsAllAt) ? knowsAllAt : null;
    return new SendInForce(
        callId,
        revision,
        lagging.isEmpty() && unknownUntil == null,
        awaited,
        lagging.size(),
        unknownUntil);
  }

  /** Puts revisions that came into force since the last time on the time line. */
  void tick(Instant now, Output output) {
    if (now.isBefore(knowsAllAt)) {
      return;
    }
    long reached = Math.min(machine.configuration().revision(), subscribers.floor(now));
    if (reached <= told) {
      return;
    }
    machine
        .entry(reached)
        .ifPresent(
            entry -> {
              Duration taken = Duration.between(entry.acceptedAt(), now);
              output.effect(
                  new TraceEffect.Observe(
                      "configuration_in_force_seconds", "", taken.toMillis() / MILLIS));
              output.effect(
                  new TraceEffect.TimelineEntry(
                      now,
                      "configuration.in_force",
                      null,
                      null,
                      null,
                      null,
                      "revision " + reached + " after " + taken.toMillis() + " ms"));
            });
    told = reached;
  }
}
