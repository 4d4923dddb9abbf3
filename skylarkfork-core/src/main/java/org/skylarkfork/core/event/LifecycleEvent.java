package org.skylarkfork.core.event;

/** The daemon's own start, passing of time and stop. */
public sealed interface LifecycleEvent extends Event {

  /** The daemon's listeners are open and its stored state is recovered. */
  record Started() implements LifecycleEvent {}

  /** Time passed; comes every {@code Reducer.TICK} so that deadlines are looked at. */
  record Tick() implements LifecycleEvent {}

  /** The operator or the system asked the daemon to stop gracefully. */
  record StopRequested() implements LifecycleEvent {}

  /** All requests are done and the daemon ends; what parts send now is sent before it does. */
  record Ending() implements LifecycleEvent {}
}
