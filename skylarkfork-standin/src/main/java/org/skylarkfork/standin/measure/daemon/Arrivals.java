package org.skylarkfork.standin.measure.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;

/** Draws the requests of a run from its deployment's flows. */
final class Arrivals {

  static final Instant BEGIN = Instant.parse("2026-05-04T06:00:00Z");

  private static final double MICROS = 1_000_000;
  private static final double LARGE_SHARE = 0.7;
  private static final double HARDEST = 0.85;
  private static final double RESENT_SHARE = 0.05;
  private static final long RESENT_AFTER_MICROS = 150_000;
  private static final int SESSIONS = 20;
  private static final long SESSION_MICROS = 100_000_000;
  private static final int MOST_TOKENS = 400;

  private final UniformRandomProvider random;
  private final List<Ask> asks = new ArrayList<>();

  private Arrivals(long seed) {
    random = RandomSource.XO_SHI_RO_256_PP.create(seed);
  }

  /** Returns all requests of a run in the order of their times. */
  static List<Ask> of(Deployment deployment, long seed) {
    Arrivals arrivals = new Arrivals(seed);
    deployment.flows().forEach(arrivals::add);
    arrivals.asks.sort(Comparator.comparingLong(Ask::atMicros));
    return List.copyOf(arrivals.asks);
  }

  private void add(Flow flow) {
    double second = flow.begin();
    while (true) {
      second -= Math.log(1 - random.nextDouble()) / flow.perSecond();
      if (second >= flow.end()) {
        return;
      }
      add(flow, Math.round(second * MICROS));
    }
  }

  private void add(Flow flow, long atMicros) {
    String id = "r" + asks.size();
    int team = team();
    @Nullable String key = flow.kind() == Flow.Kind.ISSUE ? "key-" + id : null;
    asks.add(ask(flow, atMicros, id, key, team));
    // Some callers are impatient and send the same call again while it runs.
    if (key != null && random.nextDouble() < RESENT_SHARE) {
      asks.add(ask(flow, atMicros + RESENT_AFTER_MICROS, id + "again", key, team));
    }
  }

  private int team() {
    boolean large = random.nextDouble() < LARGE_SHARE;
    return large
        ? random.nextInt(Deployment.LARGE_TEAMS)
        : Deployment.LARGE_TEAMS + random.nextInt(Deployment.TEAMS - Deployment.LARGE_TEAMS);
  }

  private Ask ask(Flow flow, long atMicros, String id, @Nullable String key, int team) {
    int tokens = 30 + (int) Math.min(MOST_TOKENS - 30, -Math.log(1 - random.nextDouble()) * 70);
    double difficulty = random.nextDouble() * HARDEST;
    CallerRequest request = request(flow, atMicros, id, key, Deployment.team(team));
    return new Ask(
        atMicros, request, Deployment.team(team), flow.kind(), flow.burst(), difficulty, tokens);
  }

  private CallerRequest request(
      Flow flow, long atMicros, String id, @Nullable String key, String team) {
    boolean draft = flow.kind() == Flow.Kind.DRAFT || flow.kind() == Flow.Kind.SESSION_DRAFT;
    boolean inSession = flow.kind() == Flow.Kind.SESSION_DRAFT;
    @Nullable String session =
        inSession ? team + "-s" + random.nextInt(SESSIONS) + "-" + atMicros / SESSION_MICROS : null;
    String service = flow.kind() == Flow.Kind.LOOKUP ? Deployment.LOOKUP : Deployment.ISSUE;
    Duration after = Duration.ofNanos(atMicros * 1_000).plus(flow.deadline());
    return new CallerRequest(
        id,
        team,
        draft ? RequestKind.CHAT : RequestKind.SERVICE,
        draft ? CallerRequest.AUTO : "",
        draft ? "" : service,
        flow.kind() == Flow.Kind.LOOKUP ? "GET" : "POST",
        draft ? "" : "/" + flow.kind().name(),
        List.of(),
        draft ? prompt(session == null ? team : session, id) : "",
        Bytes.EMPTY,
        draft ? 100 + random.nextInt(400) : 0,
        draft ? MOST_TOKENS : 0,
        inSession,
        inSession ? 2 : 5,
        session,
        null,
        key,
        BEGIN.plus(after),
        null);
  }

  /** A prompt whose first words are the same for a session or a team, as real ones are. */
  private static String prompt(String prefix, String id) {
    return (prefix + " ").repeat(40) + id;
  }
}
