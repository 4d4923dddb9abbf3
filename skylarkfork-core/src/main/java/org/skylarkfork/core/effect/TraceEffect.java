package org.skylarkfork.core.effect;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** Records of decisions for observers: timeline entries, metrics and log lines. */
public sealed interface TraceEffect extends Effect {

  /**
   * Adds an entry to the timeline.
   *
   * @param at time of the event
   * @param what name of the event, such as {@code request.dispatched}
   * @param requestId id of the request concerned, or null
   * @param session session concerned, or null
   * @param version model and version concerned, or null
   * @param upstream upstream concerned, or null
   * @param detail further facts in a short sentence, or empty
   */
  record TimelineEntry(
      Instant at,
      String what,
      @Nullable String requestId,
      @Nullable String session,
      @Nullable String version,
      @Nullable String upstream,
      String detail)
      implements TraceEffect {}

  /**
   * Adds to a counter.
   *
   * @param name name of the metric without its prefix and unit, such as {@code requests_refused}
   * @param label value of the metric's only label, or empty
   * @param amount amount to add
   */
  record Count(String name, String label, double amount) implements TraceEffect {}

  /**
   * Records a duration or size in a histogram.
   *
   * @param name name of the metric with its unit, such as {@code first_token_seconds}
   * @param label value of the metric's only label, or empty
   * @param value the measured value
   */
  record Observe(String name, String label, double value) implements TraceEffect {}

  /**
   * Writes a log line.
   *
   * @param warning whether to log at warning level, for an operator's attention
   * @param part log prefix of the part, such as {@code raft}
   * @param sentence one short sentence
   */
  record LogLine(boolean warning, String part, String sentence) implements TraceEffect {}
}
