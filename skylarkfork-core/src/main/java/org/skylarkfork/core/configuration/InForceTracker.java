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
final class InForceTracker {

  private static final int MAX_AWAITED = 50;
  private static final double MILLIS_PER_SECOND = 1000.0;

  private final ConfigurationSettings settings;
  private final ConfigurationMachine machine;
  private final Subscribers subscribers;
  private Instant earlierLeasesEndAt = Instant.MAX;
  private long reportedRevision;

  InForceTracker(
      ConfigurationSettings settings, ConfigurationMachine machine, Subscribers subscribers) {
    this.settings = settings;
    this.machine = machine;
    this.subscribers = subscribers;
  }

  /** Takes note that this daemon leads from now on; older revisions aren't told of again. */
  void leadershipGained(Instant now) {
    reportedRevision = machine.configuration().revision();
    earlierLeasesEndAt = now.plus(settings.maxLeaseDuration());
  }

  SendInForce status(String callId, long revision, Instant now) {
    List<LaggingEntry> lagging = subscribers.lagging(revision, now);
    List<AwaitedEntry> awaited = new ArrayList<>();
    for (LaggingEntry entry : lagging.subList(0, Math.min(MAX_AWAITED, lagging.size()))) {
      awaited.add(new AwaitedEntry(entry.node(), entry.revision(), now.plus(entry.leaseLeft())));
    }
    @Nullable Instant unknownUntil = now.isBefore(earlierLeasesEndAt) ? earlierLeasesEndAt : null;
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
    if (now.isBefore(earlierLeasesEndAt)) {
      return;
    }
    long reached = Math.min(machine.configuration().revision(), subscribers.floor(now));
    if (reached <= reportedRevision) {
      return;
    }
    machine
        .entry(reached)
        .ifPresent(
            entry -> {
              Duration elapsed = Duration.between(entry.acceptedAt(), now);
              output.effect(
                  new TraceEffect.Observe(
                      "configuration_in_force_seconds",
                      "",
                      elapsed.toMillis() / MILLIS_PER_SECOND));
              output.effect(
                  new TraceEffect.TimelineEntry(
                      now,
                      "configuration.in_force",
                      null,
                      null,
                      null,
                      null,
                      "revision " + reached + " after " + elapsed.toMillis() + " ms"));
            });
    reportedRevision = reached;
  }
}
