package org.skylarkfork.core.relay;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.placement.PromptChain;
import org.skylarkfork.core.placement.ReadingTimes;
import org.skylarkfork.core.routing.StableHash;

/**
 * Expects times of prompts at engines.
 *
 * <p>The wait is the reading that is ahead there, of all entries as far as they tell; the reading
 * is what the engine is not believed to keep for that model.
 */
final class EngineEstimates {

  /**
   * Cost to others of reading a shared part where it isn't kept, as a share of that reading. At 0 a
   * short wait makes a new copy, which takes the engine's time from all and memory from other
   * parts. In virtual time at double load, worth 0.865 at 0.5, 0.876 at 1, 0.903 at 2 (six seeds);
   * from 2 on it falls at the usual load.
   */
  private static final double COPY_SHARE = 1;

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
  private final Map<String, ReadingTimes> byService = new HashMap<>();

  EngineEstimates(UpstreamSource upstreams) {
    this.upstreams = upstreams;
  }

  /** Returns what is expected of a request at each of some engines. */
  TimeEstimate of(
      RelayService service,
      EngineProfile engine,
      PromptChain chain,
      String model,
      List<UpstreamTrack> engines,
      Instant now) {
    boolean kept =
        chain.sharedSize() == 0
            || engines.stream()
                .anyMatch(
                    track ->
                        track.kept().keptTokens(chain, engine.memoryTokens())
                            >= chain.sharedTokens());
    return new AtEngine(times(service), engine, model, chain, !kept, now);
  }

  private ReadingTimes times(RelayService service) {
    return byService.computeIfAbsent(service.name(), missing -> new ReadingTimes());
  }

  /** Learns from an answer's first byte; from long waits only how slow the engine is. */
  void answered(
      RelayService service, String model, Placement placement, double millis, Instant now) {
    double wait = placement.waitMillis();
    placement.track().slowness().observed(millis, placement.firstByteMillis(), now);
    if (wait <= NO_WAIT_MILLIS + NO_WAIT_SHARE * placement.workMillis()) {
      times(service).observed(model, placement.newTokens(), Math.max(1, millis - wait));
    }
  }

  private final class AtEngine implements TimeEstimate {
    private final ReadingTimes times;
    private final EngineProfile engine;
    private final String model;
    private final PromptChain chain;

    /** Whether no engine keeps the shared parts yet. */
    private final boolean firstRead;

    private final Instant now;

    private AtEngine(
        ReadingTimes times,
        EngineProfile engine,
        String model,
        PromptChain chain,
        boolean firstRead,
        Instant now) {
      this.times = times;
      this.engine = engine;
      this.model = model;
      this.chain = chain;
      this.firstRead = firstRead;
      this.now = now;
    }

    @Override
    public Placement at(UpstreamTrack track) {
      int tokens = chain.total() - track.kept().keptTokens(chain, engine.memoryTokens());
      double slow = track.slowness().factor(now);
      double unheard = Math.min(MOST_UNHEARD, 1 / upstreams.loadShare());
      double wait = slow * unheard * track.waitingMillis(now);
      double work = slow * times.workMillis(model, tokens);
      double firstByte = wait + slow * times.firstByteMillis(model, tokens);
      return new Placement(track, wait, work, firstByte, tokens, chain);
    }

    @Override
    public double extraMillis(Placement placement) {
      UpstreamTrack track = placement.track();
      int own = chain.total() - chain.sharedTokens();
      int copied = Math.max(0, placement.newTokens() - own);
      double cost = COPY_SHARE * times.workMillis(model, copied);
      if (firstRead) {
        cost += PREFERENCE_SHARE * times.workMillis(model, chain.sharedTokens()) * rank(track);
      }
      return cost + RUNNING_MILLIS * track.running(now);
    }

    /** Returns the place of an engine for this prompt, from 0 to 1, which all entries agree on. */
    private double rank(UpstreamTrack track) {
      long key = chain.key(chain.sharedSize() - 1);
      long hash = StableHash.of(Long.toHexString(key), track.instance().id());
      return (hash >>> 11) * 0x1.0p-53;
    }
  }
}
