package org.skylarkfork.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.fault.FaultKind;
import org.skylarkfork.standin.fault.Faults;
import org.skylarkfork.standin.text.PromptText;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * Decodes all running requests together, one chunk each per step, and fills free places from a
 * queue ordered by priority. Its state changes on one thread only.
 */
final class BatchLoop {

  private final Scheduler scheduler;
  private final EngineSpeed speed;
  private final EngineLimits limits;
  private final PrefixCache cache;
  private final Faults faults;
  private final EngineCounters counters;
  private final PriorityQueue<Job> queue =
      new PriorityQueue<>(Comparator.comparingInt(Job::priority).thenComparingLong(Job::arrival));
  private final List<Job> batch = new ArrayList<>();
  private long arrivals;
  private @Nullable Disposable step;
  private volatile int running;
  private volatile int queued;

  BatchLoop(
      Scheduler scheduler,
      EngineSpeed speed,
      EngineLimits limits,
      PrefixCache cache,
      Faults faults,
      EngineCounters counters) {
    this.scheduler = scheduler;
    this.speed = speed;
    this.limits = limits;
    this.cache = cache;
    this.faults = faults;
    this.counters = counters;
  }

  int running() {
    return running;
  }

  int queued() {
    return queued;
  }

  /**
   * Takes a job, or gives false if the queue is full and nothing was started. A job whose caller
   * cancels is ended, also while it is being taken.
   */
  Mono<Boolean> submit(Job job) {
    return Mono.fromSupplier(() -> enqueue(job))
        .subscribeOn(scheduler)
        .doOnCancel(() -> abandon(job));
  }

  /** Ends a job whose caller has left. */
  void abandon(Job job) {
    scheduler.schedule(() -> remove(other -> other == job));
  }

  /** Ends all jobs of a request and gives their number. */
  Mono<Integer> cancel(String requestId) {
    return Mono.fromSupplier(() -> remove(job -> job.requestId().equals(requestId)))
        .subscribeOn(scheduler);
  }

  private boolean enqueue(Job job) {
    if (batch.size() >= limits.capacity() && queue.size() >= limits.queue()) {
      return false;
    }
    job.arrived(arrivals++);
    queue.add(job);
    counters.started().incrementAndGet();
    beginStep();
    return true;
  }

  private int remove(Predicate<Job> wanted) {
    List<Job> removed = new ArrayList<>();
    batch.stream().filter(wanted).forEach(removed::add);
    queue.stream().filter(wanted).forEach(removed::add);
    batch.removeAll(removed);
    queue.removeAll(removed);
    // A long step of requests that are all gone would keep the queue waiting for nothing.
    if (batch.isEmpty() && step != null) {
      step.dispose();
      step = null;
    }
    beginStep();
    counters.cancelled().addAndGet(removed.size());
    removed.forEach(Job::cancelled);
    return removed.size();
  }

  private void beginStep() {
    if (step == null) {
      long prefill = fillBatch();
      if (!batch.isEmpty()) {
        Duration time = speed.step(batch.size(), limits.tokensPerChunk(), prefill);
        Duration slowed = time.plus(faults.delay(FaultKind.SLOW));
        step = scheduler.schedule(this::endStep, slowed.toNanos(), TimeUnit.NANOSECONDS);
      }
    }
    publishSizes();
  }

  private long fillBatch() {
    long prefill = 0;
    while (batch.size() < limits.capacity() && !queue.isEmpty()) {
      Job job = queue.remove();
      job.cached(cache.use(job.prefixes()) * PromptText.BLOCK_TOKENS);
      prefill += job.promptTokens() - job.cachedTokens();
      batch.add(job);
    }
    return prefill;
  }

  private void endStep() {
    step = null;
    batch.stream().filter(this::speaks).forEach(this::emit);
    List<Job> finished = batch.stream().filter(Job::finished).toList();
    batch.removeAll(finished);
    // The sizes change before the last frames go out, so a caller that has its whole answer never
    // sees its own request as still running.
    beginStep();
    counters.finished().addAndGet(finished.size());
    finished.forEach(Job::complete);
  }

  private boolean speaks(Job job) {
    return !faults.strikes(FaultKind.SILENCE, job.modelKey(), job.requestId());
  }

  private void emit(Job job) {
    counters.tokens().addAndGet(job.emit(limits.tokensPerChunk()));
  }

  private void publishSizes() {
    running = batch.size();
    queued = queue.size();
  }
}
