package org.skylarkfork.runtime.loop;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.tinylog.Logger;

/**
 * Applies events to the reducer on the thread that also serves the connections.
 *
 * <p>An event that comes from that thread is applied at once, so that a request is decided on
 * without a change of threads. A failure of the reducer means that an invariant broke; nothing is
 * applied after it.
 */
public final class EventLoopReducer {

  private final InstantSource clock;
  private final EventExecutor executor;
  private final EffectHandler handler;
  private final Consumer<Throwable> onFailure;
  private final Deque<Event> waiting = new ArrayDeque<>();
  private @Nullable Reducer reducer;
  private boolean applying;
  private boolean failed;
  private boolean afterTickFailed;

  /**
   * Makes a loop; {@link #start} runs it.
   *
   * @param clock gives the present time; must never go back
   * @param executor the one thread that touches the reducer
   * @param handler carries effects out, on that thread
   * @param onFailure told once if the reducer or the handler fails
   */
  public EventLoopReducer(
      InstantSource clock,
      EventExecutor executor,
      EffectHandler handler,
      Consumer<Throwable> onFailure) {
    this.clock = clock;
    this.executor = executor;
    this.handler = handler;
    this.onFailure = onFailure;
  }

  /**
   * Starts to apply events.
   *
   * @param started what decides; touched by the executor's thread only from now on
   * @param tick time between two ticks
   * @param afterTick done after each tick, so that it needs no wake-up of its own; a failure is
   *     logged and ends nothing
   */
  public void start(Reducer started, Duration tick, Runnable afterTick) {
    executor.execute(
        () -> {
          reducer = started;
          drain();
        });
    executor.scheduleWithFixedDelay(
        () -> {
          submit(new LifecycleEvent.Tick());
          runAfterTick(afterTick);
        },
        tick.toNanos(),
        tick.toNanos(),
        TimeUnit.NANOSECONDS);
  }

  /**
   * Does what follows a tick. The executor would drop a task that throws, and there would be no
   * tick any more; of failures in a row the first is logged.
   */
  private void runAfterTick(Runnable afterTick) {
    try {
      afterTick.run();
      afterTickFailed = false;
    } catch (RuntimeException | Error failure) {
      if (!afterTickFailed) {
        Logger.error(failure, "loop: the work after a tick failed; ticks go on");
      }
      afterTickFailed = true;
    }
  }

  /**
   * Applies no event from now on; returns once the event in progress is done. Does nothing if the
   * executor is shutting down.
   *
   * <p>Connections that a daemon closes as it ends would count as failures of their upstreams, and
   * their requests would be sent again by an event loop that opens no connections any more.
   */
  public void stop() {
    if (!executor.isShuttingDown()) {
      executor.submit(() -> reducer = null).awaitUninterruptibly();
    }
  }

  /** Returns the present time. */
  public Instant now() {
    return clock.instant();
  }

  /**
   * Applies an event, at once if this is the executor's thread; does nothing if the executor has
   * ended.
   */
  public void submit(Event event) {
    if (executor.inEventLoop()) {
      waiting.addLast(event);
      drain();
    } else {
      submitLater(event);
    }
  }

  private void submitLater(Event event) {
    try {
      executor.execute(() -> submit(event));
    } catch (RejectedExecutionException ended) {
      Logger.debug("reducer: dropped an event after the end: {}", event);
    }
  }

  private void drain() {
    Reducer running = reducer;
    if (applying || failed || running == null) {
      return;
    }
    applying = true;
    try {
      while (!waiting.isEmpty()) {
        List<Effect> effects = running.apply(waiting.removeFirst(), clock.instant());
        effects.forEach(handler::execute);
      }
    } catch (RuntimeException | Error failure) {
      failed = true;
      onFailure.accept(failure);
    } finally {
      applying = false;
    }
  }
}
