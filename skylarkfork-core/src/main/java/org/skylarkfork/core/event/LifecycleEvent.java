package org.skylarkfork.core.event;

/** Events of the daemon's life cycle: its start, timer ticks and its stop. */
public sealed interface LifecycleEvent extends Event {

  /** The daemon has opened its listeners and recovered its stored state. */
  record Started() implements LifecycleEvent {}

  /**
   * Periodic timer tick, submitted every {@code Reducer.TICK}, at which parts check their
   * deadlines.
   */
  record Tick() implements LifecycleEvent {}

  /** The operator or the operating system requested a graceful shutdown. */
  record StopRequested() implements LifecycleEvent {}

  /**
   * All requests have ended and the daemon is about to exit. Messages that parts send in response
   * are sent before the exit.
   */
  record Ending() implements LifecycleEvent {}
}
