package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.placement.PrefillTimes;
import org.skylarkfork.core.placement.PromptPrefixes;
import org.skylarkfork.core.routing.StableHash;

/**
 * Expects times of prompts at engines.
 *
 * <p>The wait is the reading that is ahead there, of all entries as far as they tell; the reading
 * is what the engine is not believed to keep for that model.
 */
final class EngineLatencyModel {

  /**
   * Least cost to others of reading a shared part where it isn't kept, as a share of that reading.
   * At 0 a short wait makes a new copy, which takes the engine's time from all and memory from
   * other parts.
   */
  private static final double COPY_SHARE = 1;

  /**
   * Wait, as a share of the objective, that is borne to spare a copy. A request that is in time
   * loses nothing by it. Under a burst of three times the usual load, 75 entries and 63 engines in
   * virtual time, worth 0.80 at 0, 0.88 at 0.1, 0.92 at 0.2, and 49, 22 and 10 million tokens read
   * again (four seeds); at the usual load 0.98 at all three. The limit keeps a subject that all ask
   * for from waiting for one engine: without it, worth 0.94 in place of 0.98 if three of ten
   * requests are for one subject.
   */
  private static final double OBJECTIVE_SHARE = 0.2;

  /**
   * The same as a share of the reading that is spared, so that no request waits long to spare
   * little. Between 8 and 32 it makes no difference in virtual time.
   */
  private static final double MOST_COPY_SHARE = 16;

  /**
   * Share of the reading of a part that no engine keeps by which its places differ, so that entries
   * that see it at the same time choose the same engine while none has much to do. In virtual time
   * at double load, worth 0.873 at 0 and 0.899 at 1 (six seeds).
   */
  private static final double PREFERENCE_SHARE = 1;

  /** Milliseconds that a request under way adds to a first byte; each step takes longer by it. */
  private static final double RUNNING_MILLIS = 1;

  /** Most by which this entry's own work stands for that of entries that it doesn't hear. */
  private static final double MOST_UNHEARD = 4;

  /**
   * Wait, as a share of the reading, up to which an answer tells of the reading alone. Longer waits
   * are known too roughly to be taken off.
   */
  private static final double NO_WAIT_SHARE = 0.3;

  /** The same for the shortest prompts, in milliseconds; a step of an engine. */
  private static final double NO_WAIT_MILLIS = 20;

  private final UpstreamSource upstreams;
  private final Map<String, PrefillTimes> byService = new HashMap<>();

  EngineLatencyModel(UpstreamSource upstreams) {
    this.upstreams = upstreams;
  }

  /** Returns what is expected of a request at each of some engines. */
  PlacementEstimator estimatorFor(
      PlacementQuery query,
      EngineProfile engine,
      PromptPrefixes chain,
      List<TrackedUpstream> engines,
      Instant now) {
    boolean kept =
        chain.sharedSize() == 0
            || engines.stream()
                .anyMatch(
                    track ->
                        track.prefixCache().cachedTokens(chain, engine.memoryTokens())
                            >= chain.sharedTokens());
    return new AtEngine(query, engine, chain, !kept, now);
  }

  private PrefillTimes times(RelayService service) {
    return byService.computeIfAbsent(service.name(), missing -> new PrefillTimes());
  }

  /** Learns from an answer's first byte; from long waits only how slow the engine is. */
  void recordFirstByte(
      RelayService service, String model, Placement placement, double millis, Instant now) {
    double wait = placement.waitMillis();
    placement.upstream().relativeLatency().recordAnswer(millis, placement.firstByteMillis(), now);
    if (wait <= NO_WAIT_MILLIS + NO_WAIT_SHARE * placement.workMillis()) {
      times(service).recordAnswer(model, placement.newTokens(), Math.max(1, millis - wait));
    }
  }

  private final class AtEngine implements PlacementEstimator {
    private final PrefillTimes times;
    private final EngineProfile engine;
    private final String model;
    private final PromptPrefixes chain;
    private final double objectiveMillis;

    /** Whether no engine keeps the shared parts yet. */
    private final boolean firstRead;

    private final Instant now;

    private AtEngine(
        PlacementQuery query,
        EngineProfile engine,
        PromptPrefixes chain,
        boolean firstRead,
        Instant now) {
      this.times = times(query.service());
      this.engine = engine;
      this.model = String.valueOf(query.model());
      this.objectiveMillis = query.objectiveMillis();
      this.chain = chain;
      this.firstRead = firstRead;
      this.now = now;
    }

    @Override
    public Placement estimate(TrackedUpstream track) {
      int tokens =
          chain.totalTokens() - track.prefixCache().cachedTokens(chain, engine.memoryTokens());
      double slow = track.relativeLatency().factor(now);
      double unheard = Math.min(MOST_UNHEARD, 1 / upstreams.loadShare());
      double wait = slow * unheard * track.waitingMillis(now);
      double work = slow * times.prefillMillis(model, tokens);
      double firstByte = wait + slow * times.firstByteMillis(model, tokens);
      return new Placement(track, wait, work, firstByte, tokens, chain);
    }

    @Override
    public double costToOthersMillis(Placement placement) {
      TrackedUpstream track = placement.upstream();
      int own = chain.totalTokens() - chain.sharedTokens();
      int copied = Math.max(0, placement.newTokens() - own);
      double cost = copyMillis(times.prefillMillis(model, copied));
      if (firstRead) {
        cost += PREFERENCE_SHARE * times.prefillMillis(model, chain.sharedTokens()) * rank(track);
      }
      return cost + RUNNING_MILLIS * track.running(now);
    }

    private double copyMillis(double workMillis) {
      double worthWaiting =
          Math.min(MOST_COPY_SHARE * workMillis, OBJECTIVE_SHARE * objectiveMillis);
      return Math.max(COPY_SHARE * workMillis, worthWaiting);
    }

    /** Returns the place of an engine for this prompt, from 0 to 1, which all entries agree on. */
    private double rank(TrackedUpstream track) {
      long key = chain.key(chain.sharedSize() - 1);
      long hash = StableHash.of(Long.toHexString(key), track.instance().id());
      return (hash >>> 11) * 0x1.0p-53;
    }
  }
}
