package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;

/**
 * Finds out, at an entry, which upstreams have ended while they ran requests, and which these were.
 *
 * <p>An attempt that is lost says nothing of its upstream: a connection is reset, an answer spoilt,
 * by upstreams that go on serving. One that takes no connection any more has ended.
 */
final class CrashWatch {

  /** Time after the first lost attempt in which others are put down to the same end. */
  private static final Duration SAME_END = Duration.ofSeconds(5);

  /** Lost attempts of one upstream that are kept; an engine runs 64 at once. */
  private static final int MAX_LOST = 256;

  /** Requests that are named in a log line. */
  private static final int MAX_NAMED = 12;

  private final Map<UpstreamRun, Losses> losses = new LinkedHashMap<>();

  /** What was lost at one start of an upstream. */
  private static final class Losses {
    private final UpstreamInstance upstream;
    private final Instant firstAt;
    private final List<LostAttempt> attempts = new ArrayList<>();
    private boolean ended;

    private Losses(UpstreamInstance upstream, Instant firstAt) {
      this.upstream = upstream;
      this.firstAt = firstAt;
    }
  }

  /**
   * Takes note of an attempt that reached an upstream and got no whole answer, and has the upstream
   * probed if that isn't under way.
   *
   * @param upstream the upstream
   * @param key the request
   * @param sentAt when the attempt was sent
   * @param now the present time
   * @param output takes what is to be done
   */
  void lost(UpstreamInstance upstream, RequestKey key, Instant sentAt, Instant now, Output output) {
    Losses known = losses.get(upstream.run());
    if (known == null) {
      known = new Losses(upstream, now);
      losses.put(upstream.run(), known);
      output.effect(new RelayEffect.ProbeUpstream(upstream));
    }
    if (known.attempts.size() < MAX_LOST) {
      known.attempts.add(new LostAttempt(key, sentAt));
    }
  }

  /** Takes the word of a probe: losses at an upstream that goes on are its connections' only. */
  void probed(UpstreamRun upstream, boolean reachable, Instant now, Output output) {
    Losses known = losses.get(upstream);
    if (known == null || known.ended) {
      return;
    }
    if (reachable) {
      losses.remove(upstream);
      return;
    }
    known.ended = true;
    output.effect(new TraceEffect.Count("relay_upstreams_ended", known.upstream.service(), 1));
    output.effect(new TraceEffect.LogLine(true, "request", describe(known, now)));
  }

  private static String describe(Losses losses, Instant now) {
    List<LostAttempt> attempts = losses.attempts;
    List<LostAttempt> named = attempts.subList(0, Math.min(MAX_NAMED, attempts.size()));
    return "event=upstream_ended id="
        + losses.upstream.id()
        + " service="
        + losses.upstream.service()
        + " upstream_version="
        + losses.upstream.version()
        + " lost="
        + attempts.size()
        + " requests="
        + named.stream().map(attempt -> attempt.key().toString()).toList()
        + " ms="
        + Duration.between(losses.firstAt, now).toMillis();
  }

  /** Forgets losses that nothing more can be put down to. */
  void tick(Instant now) {
    Iterator<Losses> all = losses.values().iterator();
    while (all.hasNext() && !now.isBefore(all.next().firstAt.plus(SAME_END))) {
      all.remove();
    }
  }
}
