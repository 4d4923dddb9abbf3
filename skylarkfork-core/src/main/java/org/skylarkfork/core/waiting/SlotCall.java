package org.skylarkfork.core.waiting;

import java.time.Instant;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.SlotMessage.SlotAsk;

/** A call that waits for a slot or holds one. */
final class SlotCall {

  /** Identifies a call among those of all entries. */
  record Id(String entry, long number) {}

  final Id id;
  final SlotAsk ask;
  final TeamLoad team;
  final long arrivedMillis;

  /** When the objective ends, in milliseconds since 1970. */
  final long objectiveMillis;

  /** The caller's deadline, in milliseconds since 1970. */
  final long deadlineMillis;

  /** Whether the call goes ahead of others of its rank, since it comes back after a refusal. */
  final boolean returning;

  /** When the entry expects the next answer, in milliseconds since 1970. */
  long followUpMillis;

  /** Upstream whose slot the call holds, or null while it waits. */
  @Nullable PooledUpstream upstream;

  long grantedMillis;

  SlotCall(Id id, SlotAsk ask, TeamLoad team, boolean returning, Instant now) {
    this.id = id;
    this.ask = ask;
    this.team = team;
    this.returning = returning;
    this.arrivedMillis = now.toEpochMilli();
    this.objectiveMillis = arrivedMillis + Math.max(0, ask.objectiveMillis());
    this.deadlineMillis = arrivedMillis + Math.max(0, ask.leftMillis());
  }

  long leftMillis(Instant now) {
    return deadlineMillis - now.toEpochMilli();
  }

  /** Returns the time since the call asked for a slot, in milliseconds. */
  long waitedMillis(Instant now) {
    return now.toEpochMilli() - arrivedMillis;
  }
}
