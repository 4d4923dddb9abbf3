package org.skylarkfork.runtime.trace;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.TraceEffect;
import org.tinylog.Logger;

/** Carries traces out: time line, metrics and log. Used by the reducer's thread only. */
public final class TraceHandler {

  private final String node;
  private final Metrics metrics;
  private final @Nullable TimelineWriter timeline;
  private long sequence;

  /**
   * Makes a handler.
   *
   * @param node name of the daemon
   * @param metrics takes counts and observations
   * @param timeline takes the time line, or null to drop it
   */
  public TraceHandler(String node, Metrics metrics, @Nullable TimelineWriter timeline) {
    this.node = node;
    this.metrics = metrics;
    this.timeline = timeline;
  }

  /** Carries an effect out. */
  public void execute(TraceEffect effect) {
    if (effect instanceof TraceEffect.TimelineEntry entry) {
      add(entry);
    } else if (effect instanceof TraceEffect.Count count) {
      metrics.count(count.name(), count.label(), count.amount());
    } else if (effect instanceof TraceEffect.Observe observe) {
      metrics.observe(observe.name(), observe.label(), observe.value());
    } else if (effect instanceof TraceEffect.LogLine line) {
      log(line);
    }
  }

  private void add(TraceEffect.TimelineEntry entry) {
    if (timeline != null) {
      sequence++;
      timeline.add(TimelineRecord.of(node, sequence, entry));
    }
  }

  private static void log(TraceEffect.LogLine line) {
    if (line.warning()) {
      Logger.warn("{}: {}", line.part(), line.sentence());
    } else {
      Logger.info("{}: {}", line.part(), line.sentence());
    }
  }
}
