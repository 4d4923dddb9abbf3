package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.placement.PrefillTimes;
import org.skylarkfork.core.placement.PromptPrefixes;
import org.skylarkfork.core.routing.StableHash;

/**
 * Estimates the times of prompts at engines.
 *
 * <p>The wait is the prefill time of the requests ahead at the engine, of all entries as far as
 * they report it. The prefill covers the tokens that the engine has probably not cached for the
 * model.
 */
final class EngineLatencyModel {

  /**
   * Minimum cost to other requests of the prefill of a shared prefix at an engine that has not
   * cached it, as a share of its prefill time. At 0 a short wait creates a new copy, which takes
   * engine time from all requests and memory from other parts.
   */
  private static final double MIN_COPY_SHARE = 1;

  /**
   * Maximum wait that is accepted to avoid a copy, as a share of the objective. A request that is
   * still in time loses nothing by it. Under a burst of three times the usual load, with 75 entries
   * and 63 engines in virtual time, the worth was 0.80 at 0, 0.88 at 0.1 and 0.92 at 0.2, with 49,
   * 22 and 10 million tokens read again (four seeds); at the usual load it was 0.98 at all three.
   * The limit keeps requests for one popular subject from all waiting for one engine: without it
   * the worth was 0.94 instead of 0.98 if three of ten requests were for one subject.
   */
  private static final double MAX_WAIT_SHARE = 0.2;

  /**
   * Maximum wait that is accepted to avoid a copy, as a multiple of the prefill time that is saved,
   * so that no request waits long to save little. Values between 8 and 32 make no difference in
   * virtual time.
   */
  private static final double MAX_COPY_SHARE = 16;

  /**
   * Range, as a share of the prefill time, over which the costs of engines differ for a part that
   * no engine has cached, so that entries that receive it at the same time choose the same engine
   * while no engine is busy. In virtual time at double load the worth was 0.873 at 0 and 0.899 at 1
   * (six seeds).
   */
  private static final double PREFERENCE_SHARE = 1;

  /**
   * Delay of a first byte per running request, in milliseconds; each generation step takes longer
   * by it.
   */
  private static final double MILLIS_PER_RUNNING_REQUEST = 1;

  /**
   * Maximum factor by which this entry's own load is scaled up for entries that don't report to it.
   */
  private static final double MAX_LOAD_FACTOR = 4;

  /**
   * Wait, as a share of the prefill time, up to which an answer is used to estimate prefill times.
   * Longer waits are known too imprecisely to be subtracted.
   */
  private static final double IGNORED_WAIT_SHARE = 0.3;

  /** The same for the shortest prompts, in milliseconds; one step of an engine. */
  private static final double IGNORED_WAIT_MILLIS = 20;

  private final UpstreamSource upstreams;
  private final Map<String, PrefillTimes> byService = new HashMap<>();

  EngineLatencyModel(UpstreamSource upstreams) {
    this.upstreams = upstreams;
  }

  /** Returns an estimator of the times of a request at each of some engines. */
  PlacementEstimator estimatorFor(
      PlacementQuery query,
      EngineProfile engine,
      PromptPrefixes prefixes,
      List<TrackedUpstream> engines,
      Instant now) {
    boolean cached =
        prefixes.sharedSize() == 0
            || engines.stream()
                .anyMatch(
                    upstream ->
                        upstream.prefixCache().cachedTokens(prefixes, engine.memoryTokens())
                            >= prefixes.sharedTokens());
    return new EngineEstimator(query, engine, prefixes, !cached, now);
  }

  private PrefillTimes times(RelayService service) {
    return byService.computeIfAbsent(service.name(), missing -> new PrefillTimes());
  }

  /**
   * Updates the estimates from an answer's first byte. After a long wait only the relative latency
   * of the engine is updated. Shifted attempts are ignored: the wait depends on later attempts that
   * pass them, not on the engine's speed.
   */
  void recordFirstByte(
      RelayService service, String model, Placement placement, double millis, Instant now) {
    if (placement.shift() > 0) {
      return;
    }
    double wait = placement.waitMillis();
    placement.upstream().relativeLatency().recordAnswer(millis, placement.firstByteMillis(), now);
    if (wait <= IGNORED_WAIT_MILLIS + IGNORED_WAIT_SHARE * placement.workMillis()) {
      times(service).recordAnswer(model, placement.newTokens(), Math.max(1, millis - wait));
    }
  }

  private final class EngineEstimator implements PlacementEstimator {
    private final PrefillTimes times;
    private final EngineProfile engine;
    private final String model;
    private final PromptPrefixes prefixes;
    private final double objectiveMillis;

    /** Whether no engine has cached the shared parts yet. */
    private final boolean uncached;

    private final Instant now;

    private EngineEstimator(
        PlacementQuery query,
        EngineProfile engine,
        PromptPrefixes prefixes,
        boolean uncached,
        Instant now) {
      this.times = times(query.service());
      this.engine = engine;
      this.model = String.valueOf(query.model());
      this.objectiveMillis = query.objectiveMillis();
      this.prefixes = prefixes;
      this.uncached = uncached;
      this.now = now;
    }

    @Override
    public Placement estimate(TrackedUpstream upstream) {
      int tokens =
          prefixes.totalTokens()
              - upstream.prefixCache().cachedTokens(prefixes, engine.memoryTokens());
      double latencyFactor = upstream.relativeLatency().factor(now);
      double loadFactor = Math.min(MAX_LOAD_FACTOR, 1 / upstreams.loadShare());
      double wait = latencyFactor * loadFactor * upstream.waitingMillis(now);
      double prefill = latencyFactor * times.prefillMillis(model, tokens);
      double firstByte = wait + latencyFactor * times.firstByteMillis(model, tokens);
      return new Placement(upstream, wait, prefill, firstByte, tokens, prefixes);
    }

    @Override
    public double costToOthersMillis(Placement placement) {
      TrackedUpstream upstream = placement.upstream();
      int ownTokens = prefixes.totalTokens() - prefixes.sharedTokens();
      int copiedTokens = Math.max(0, placement.newTokens() - ownTokens);
      double cost = copyMillis(times.prefillMillis(model, copiedTokens));
      if (uncached) {
        cost +=
            PREFERENCE_SHARE * times.prefillMillis(model, prefixes.sharedTokens()) * rank(upstream);
      }
      return cost + MILLIS_PER_RUNNING_REQUEST * upstream.running(now);
    }

    private double copyMillis(double workMillis) {
      double acceptedWait = Math.min(MAX_COPY_SHARE * workMillis, MAX_WAIT_SHARE * objectiveMillis);
      return Math.max(MIN_COPY_SHARE * workMillis, acceptedWait);
    }

    /**
     * Returns the preference for an engine for this prompt, from 0 (most preferred) to 1, which is
     * the same on all entries.
     */
    private double rank(TrackedUpstream upstream) {
      long key = prefixes.key(prefixes.sharedSize() - 1);
      long hash = StableHash.of(Long.toHexString(key), upstream.instance().id());
      return (hash >>> 11) * 0x1.0p-53;
    }
  }
}
