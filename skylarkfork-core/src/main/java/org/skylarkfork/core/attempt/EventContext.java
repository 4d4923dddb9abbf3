package org.skylarkfork.core.attempt;

import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.TraceEffect;

/** The context of the event being applied: its time and the output for its effects. */
record EventContext(Instant now, Output output) {

  void effect(Effect effect) {
    output.effect(effect);
  }

  void count(String name, String label) {
    output.effect(new TraceEffect.Count(name, label, 1));
  }

  void observe(String name, String label, Instant since) {
    double seconds = Duration.between(since, now).toNanos() / 1e9;
    output.effect(new TraceEffect.Observe(name, label, seconds));
  }

  void timeline(String what, ActiveRequest active, @Nullable Attempt attempt, String detail) {
    ModelVersion version = attempt == null ? null : attempt.version;
    output.effect(
        new TraceEffect.TimelineEntry(
            now,
            what,
            active.request.requestId(),
            active.request.session(),
            version == null ? null : version.toString(),
            attempt == null ? null : attempt.upstream,
            detail));
  }
}
