package org.skylarkfork.runtime.loop;

import io.netty.util.internal.OutOfDirectMemoryError;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.InvariantViolation;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.LifecycleEffect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.runtime.trace.Metrics;
import org.tinylog.Logger;

/**
 * Executes effects so that one that fails doesn't end the process: the failure of a connection, a
 * message or a log line concerns one request or peer, and all others would fail with it.
 *
 * <p>Two kinds of failures are thrown on, and end the process. After a failed write, or a listener
 * that can't be opened, the reducer's state is no longer that of the daemon. After a violated
 * invariant, or if the virtual machine is out of heap, no state can be trusted.
 */
public final class ContainedEffects implements EffectHandler {

  private static final String METRIC = "failed_effects";
  private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final EffectHandler handler;
  private final EffectFailures failures;
  private final Metrics metrics;
  private long loggedAt = System.nanoTime() - LOG_INTERVAL_NANOS;
  private long unlogged;

  /**
   * Creates a handler.
   *
   * @param handler executes the effects
   * @param failures gives outcomes to effects that have failed
   * @param metrics receives the number of failures by kind of effect
   */
  public ContainedEffects(EffectHandler handler, EffectFailures failures, Metrics metrics) {
    this.handler = handler;
    this.failures = failures;
    this.metrics = metrics;
  }

  @Override
  public void execute(Effect effect) {
    try {
      handler.execute(effect);
    } catch (RuntimeException | Error failure) {
      if (changesState(effect) || isFatal(failure)) {
        throw failure;
      }
      record(effect, failure);
      giveOutcome(effect, failure);
    }
  }

  /** The outcome may meet the fault that the effect has met; then there is none. */
  private void giveOutcome(Effect effect, Throwable failure) {
    try {
      failures.onFailed(effect, failure);
    } catch (RuntimeException | Error again) {
      if (isFatal(again)) {
        throw again;
      }
      Logger.error(again, "effects: event=no_outcome kind={}", effect.getClass().getSimpleName());
    }
  }

  private static boolean changesState(Effect effect) {
    return effect instanceof StorageEffect
        || effect instanceof LifecycleEffect
        || effect instanceof RelayEffect.TakeCalls;
  }

  private static boolean isFatal(Throwable failure) {
    return failure instanceof InvariantViolation
        || failure instanceof VirtualMachineError && !(failure instanceof OutOfDirectMemoryError);
  }

  /** Logs at most one failure a second, since each request could cause one. */
  private void record(Effect effect, Throwable failure) {
    String kind = effect.getClass().getSimpleName();
    metrics.count(METRIC, kind, 1);
    long now = System.nanoTime();
    if (now - loggedAt < LOG_INTERVAL_NANOS) {
      unlogged++;
      return;
    }
    loggedAt = now;
    Logger.error(failure, "effects: event=effect_failed kind={} unlogged={}", kind, unlogged);
    unlogged = 0;
  }
}
