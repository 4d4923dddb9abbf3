package org.skylarkfork.runtime.node;

import java.util.function.Consumer;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.effect.LifecycleEffect;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.StorageEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.runtime.loop.EffectHandler;

/**
 * Hands each effect to what carries out its family.
 *
 * @param callers answers to callers
 * @param upstreams calls to upstreams
 * @param operators answers to operators
 * @param peers traffic to other daemons
 * @param storage writes to the data folder
 * @param traces time line, metrics and log
 * @param lifecycle what the daemon does with itself
 */
record EffectRouter(
    Consumer<CallerEffect> callers,
    Consumer<UpstreamEffect> upstreams,
    Consumer<OperatorEffect> operators,
    Consumer<PeerEffect> peers,
    Consumer<StorageEffect> storage,
    Consumer<TraceEffect> traces,
    Consumer<LifecycleEffect> lifecycle)
    implements EffectHandler {

  @Override
  public void execute(Effect effect) {
    if (effect instanceof CallerEffect caller) {
      callers.accept(caller);
    } else if (effect instanceof UpstreamEffect upstream) {
      upstreams.accept(upstream);
    } else if (effect instanceof OperatorEffect operator) {
      operators.accept(operator);
    } else if (effect instanceof PeerEffect peer) {
      peers.accept(peer);
    } else if (effect instanceof StorageEffect write) {
      storage.accept(write);
    } else if (effect instanceof TraceEffect trace) {
      traces.accept(trace);
    } else if (effect instanceof LifecycleEffect own) {
      lifecycle.accept(own);
    }
  }
}
