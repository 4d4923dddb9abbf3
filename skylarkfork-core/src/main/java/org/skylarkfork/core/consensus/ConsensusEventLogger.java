package org.skylarkfork.core.consensus;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.StorageEvent;

/** Logs leader changes and storage failures, and records leader changes in the timeline. */
public final class ConsensusEventLogger implements Part {

  private static final String PART = "raft";

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof ConsensusEvent.LeaderChanged changed) {
      leaderChanged(changed, now, output);
    } else if (event instanceof StorageEvent.Failed failed) {
      output.effect(
          new TraceEffect.LogLine(
              true,
              PART,
              failed.group()
                  + " stopped voting because its stored data can't be continued: "
                  + failed.detail()
                  + "; restart, and replace the disk if the start fails"));
    }
  }

  private static void leaderChanged(
      ConsensusEvent.LeaderChanged changed, Instant now, Output output) {
    String leader = changed.node() == null ? "no leader" : "leader " + changed.node();
    String sentence = changed.group() + " has " + leader + " in term " + changed.term();
    output.effect(new TraceEffect.LogLine(false, PART, sentence));
    output.effect(
        new TraceEffect.TimelineEntry(
            now, "group.leader-changed", null, null, null, null, sentence));
  }
}
