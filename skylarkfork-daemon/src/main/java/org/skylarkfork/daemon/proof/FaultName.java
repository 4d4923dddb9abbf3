package org.skylarkfork.daemon.proof;

/** The disturbances that the proof knows. */
public enum FaultName {
  /** An entry crashes and starts again. */
  CRASH_ENTRY,
  /** The leader crashes and starts again. */
  CRASH_LEADER,
  /** A voter loses its disk, is repaired, and then another voter is lost. */
  WIPE_VOTER,
  /** The leader is cut off in silence while operators race on both sides. */
  CUT_LEADER,
  /** All daemons crash and start again. */
  RESTART_ALL,
  /** Operators send changes that expect the same revision, and send them again. */
  RACE,
  /** A version is withdrawn and later reinstated. */
  WITHDRAW,
  /** An upstream is drained and later undrained. */
  DRAIN,
  /** A roll-out is started, moved on and aborted. */
  ROLL_OUT,
  /** An entry is stopped as planned and starts again. */
  STOP_ENTRY,
  /** An upstream announces leaving and comes back. */
  LEAVE,
  /** An upstream misbehaves: cut, crossed, late, bad or refused answers, or silence. */
  UPSTREAM
}
