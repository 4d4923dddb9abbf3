package org.skylarkfork.runtime.loop;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.runtime.startup.EssentialThread;

/**
 * The thread that applies events to the reducer, one after the other, and hands the effects on.
 *
 * <p>A failure of the reducer means that an invariant broke; the loop stops, since going on could
 * run a request twice or show a wrong answer.
 */
public final class ReducerLoop implements AutoCloseable {

  private static final int MAX_BACKLOG = 20_000;
  private static final long TICK_NANOS = Reducer.TICK.toNanos();

  private final InstantSource clock;
  private final EffectHandler handler;
  private final Journal journal;
  private final Consumer<Throwable> onFailure;
  private final BlockingQueue<Consumer<Reducer>> tasks = new LinkedBlockingQueue<>();
  private @Nullable Thread thread;
  private volatile boolean stopped;

  /**
   * Makes a loop; {@link #start} runs it.
   *
   * @param clock gives the present time; must never go back
   * @param handler carries effects out
   * @param journal sees every event
   * @param onFailure told once if the reducer or the handler fails
   */
  public ReducerLoop(
      InstantSource clock, EffectHandler handler, Journal journal, Consumer<Throwable> onFailure) {
    this.clock = clock;
    this.handler = handler;
    this.journal = journal;
    this.onFailure = onFailure;
  }

  /**
   * Starts the thread; what was submitted before waits until then.
   *
   * @param reducer what decides; touched by the thread only from now on
   */
  public void start(Reducer reducer) {
    Thread started = new EssentialThread(() -> run(reducer), "reducer");
    started.setDaemon(true);
    started.start();
    thread = started;
  }

  /** Adds an event whatever the backlog; ignored after the stop. */
  public void submit(Event event) {
    tasks.add(reducer -> apply(reducer, event));
  }

  /**
   * Adds an event that brings new work.
   *
   * @return false if the backlog is full or the loop has stopped; the event is then dropped
   */
  public boolean offer(Event event) {
    if (stopped || tasks.size() >= MAX_BACKLOG) {
      return false;
    }
    submit(event);
    return true;
  }

  /**
   * Asks something of the parts' state on the reducer's thread.
   *
   * @param question reads state and must not change it
   * @return the answer; fails with {@code RejectedExecutionException} after the stop
   */
  public <T> CompletableFuture<T> ask(Function<Instant, T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    tasks.add(reducer -> answer(question, answer));
    if (stopped) {
      answer.completeExceptionally(new RejectedExecutionException("the daemon has stopped"));
    }
    return answer;
  }

  private <T> void answer(Function<Instant, T> question, CompletableFuture<T> answer) {
    try {
      answer.complete(question.apply(clock.instant()));
    } catch (RuntimeException | LinkageError failure) {
      answer.completeExceptionally(failure);
    }
  }

  private void run(Reducer reducer) {
    long nextTick = System.nanoTime() + TICK_NANOS;
    try {
      while (!stopped) {
        long wait = nextTick - System.nanoTime();
        if (wait <= 0) {
          apply(reducer, new LifecycleEvent.Tick());
          nextTick = System.nanoTime() + TICK_NANOS;
        } else {
          runNext(reducer, wait);
        }
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException | Error failure) {
      stopped = true;
      onFailure.accept(failure);
    }
  }

  private void runNext(Reducer reducer, long waitNanos) throws InterruptedException {
    Consumer<Reducer> task = tasks.poll(waitNanos, TimeUnit.NANOSECONDS);
    if (task != null) {
      task.accept(reducer);
    }
  }

  private void apply(Reducer reducer, Event event) {
    Instant now = clock.instant();
    List<Effect> effects = reducer.apply(event, now);
    journal.applied(now, event, effects);
    effects.forEach(handler::execute);
  }

  /** Stops the thread without applying what is left. */
  @Override
  public void close() {
    stopped = true;
    Thread running = thread;
    if (running != null) {
      running.interrupt();
    }
  }
}
