package org.skylarkfork.core.configuration;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConfigurationEvent;

/** Applies newer revisions and tells everybody whom it concerns. */
final class RevisionApplier {

  private final AppliedConfiguration applied;
  private final EntryLease lease;
  private final Subscribers subscribers;

  RevisionApplier(AppliedConfiguration applied, EntryLease lease, Subscribers subscribers) {
    this.applied = applied;
    this.lease = lease;
    this.subscribers = subscribers;
  }

  /** Applies a whole configuration if it is newer; returns whether it was. */
  boolean apply(Configuration next, Instant now, Output output) {
    long before = applied.revision();
    if (next.revision() <= before) {
      return false;
    }
    applied.apply(next);
    publish(before, now, output);
    return true;
  }

  /**
   * Applies a step that starts at the present revision.
   *
   * @throws IllegalArgumentException if it doesn't fit
   */
  void apply(ConfigurationStep step, Instant now, Output output) {
    long before = applied.revision();
    applied.apply(step);
    publish(before, now, output);
  }

  private void publish(long before, Instant now, Output output) {
    long revision = applied.revision();
    output.raise(new ConfigurationEvent.ConfigurationApplied(before, revision));
    output.effect(
        new TraceEffect.TimelineEntry(
            now,
            "configuration.applied",
            null,
            null,
            null,
            null,
            "revision " + revision + " after " + before));
    subscribers.pushAll(now, output);
    if (lease.revisionApplied(revision)) {
      subscribers.grantAll(now, output);
    }
  }
}
