package org.skylarkfork.runtime.trace;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.effect.TraceEffect;

/**
 * One line of a daemon's time line file.
 *
 * @param node name of the daemon
 * @param sequence rises by one with each line of the process; orders lines of equal time
 * @param at when it happened, on the daemon's clock
 * @param what name of the happening
 * @param requestId request concerned, or null
 * @param session session concerned, or null
 * @param version model and version concerned, or null
 * @param upstream upstream concerned, or null
 * @param detail further facts, may be empty
 */
public record TimelineRecord(
    String node,
    long sequence,
    Instant at,
    String what,
    @Nullable String requestId,
    @Nullable String session,
    @Nullable String version,
    @Nullable String upstream,
    String detail) {

  /** Makes a line from an entry. */
  public static TimelineRecord of(String node, long sequence, TraceEffect.TimelineEntry entry) {
    return new TimelineRecord(
        node,
        sequence,
        entry.at(),
        entry.what(),
        entry.requestId(),
        entry.session(),
        entry.version(),
        entry.upstream(),
        entry.detail());
  }
}
