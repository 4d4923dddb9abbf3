package org.skylarkfork.core.effect;

import java.time.Instant;
import org.jspecify.annotations.Nullable;

/** What is told about a decision: entries of the time line, counts and log lines. */
public sealed interface TraceEffect extends Effect {

  /**
   * An entry of the time line.
   *
   * @param at when it happened
   * @param what name of the happening, such as {@code request.dispatched}
   * @param requestId request concerned, or null
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
   * @param name name of the metric without prefix and unit, such as {@code requests_refused}
   * @param label value of its one label, or empty
   * @param amount how much is added
   */
  record Count(String name, String label, double amount) implements TraceEffect {}

  /**
   * Records a duration or size in a histogram.
   *
   * @param name name of the metric with its unit, such as {@code first_token_seconds}
   * @param label value of its one label, or empty
   * @param value the measured value
   */
  record Observe(String name, String label, double value) implements TraceEffect {}

  /**
   * Writes a log line.
   *
   * @param warning whether an operator should look at it
   * @param part prefix of the part, such as {@code raft}
   * @param sentence one short sentence
   */
  record LogLine(boolean warning, String part, String sentence) implements TraceEffect {}
}
