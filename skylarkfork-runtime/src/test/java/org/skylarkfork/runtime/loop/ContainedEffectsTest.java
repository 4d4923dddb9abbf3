package org.skylarkfork.runtime.loop;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.InvariantViolation;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.LifecycleEffect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.runtime.trace.Metrics;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ContainedEffects}. */
public final class ContainedEffectsTest {

  private final List<Effect> failed = new ArrayList<>();
  private Metrics metrics = new Metrics();

  /** Forgets what earlier tests have counted. */
  @BeforeMethod
  public void reset() {
    failed.clear();
    metrics = new Metrics();
  }

  private ContainedEffects failing(RuntimeException failure) {
    return new ContainedEffects(
        effect -> {
          throw failure;
        },
        (effect, cause) -> failed.add(effect),
        metrics);
  }

  private static ContainedEffects failing(Error failure) {
    return new ContainedEffects(
        effect -> {
          throw failure;
        },
        EffectFailures.NONE,
        new Metrics());
  }

  /** Guards against a process that ends because one effect fails. */
  @Test
  public void failedEffectIsCountedAndGetsItsOutcome() {
    Effect effect = new PeerEffect.LearnPeer("node", "127.0.0.1", 99_999);
    failing(new IllegalArgumentException("port out of range")).execute(effect);
    assertEquals(failed, List.of(effect));
    assertTrue(
        metrics.text().contains("failed_effects_total{kind=\"LearnPeer\"} 1.0"), metrics.text());
  }

  /** Guards against a class that can't be loaded late, which would end the process. */
  @Test
  public void linkageErrorIsContained() {
    failing(new NoClassDefFoundError("a class")).execute(new PeerEffect.ForgetPeer("node"));
  }

  /** Guards against a daemon that goes on without its listeners, or that never ends. */
  @Test
  public void failureThatChangesStateIsThrownOn() {
    IllegalStateException failure = new IllegalStateException("no listener");
    for (Effect effect : List.of(new RelayEffect.TakeCalls(), new LifecycleEffect.EndProcess())) {
      assertSame(
          expectThrows(IllegalStateException.class, () -> failing(failure).execute(effect)),
          failure);
    }
    assertEquals(failed, List.of());
  }

  /** Guards against a daemon that goes on with a state that can't be trusted. */
  @Test
  public void violatedInvariantAndFullHeapAreThrownOn() {
    Effect effect = new PeerEffect.ForgetPeer("node");
    for (Error failure :
        List.of(new InvariantViolation("an invariant"), new OutOfMemoryError("heap"))) {
      assertSame(expectThrows(Error.class, () -> failing(failure).execute(effect)), failure);
    }
  }
}
