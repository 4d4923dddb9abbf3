package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.fairshare.AttemptShift;
import org.skylarkfork.core.fairshare.FairShares;
import org.skylarkfork.core.fairshare.PlacedAttempt;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;
import org.skylarkfork.core.message.RelayMessage.PlacementAnswer;
import org.skylarkfork.core.message.RelayMessage.PlacementAsk;
import org.skylarkfork.core.message.RelayMessage.PlacementNews;
import org.skylarkfork.core.message.RelayMessage.PromptPrefix;
import org.skylarkfork.core.placement.EngineGroups;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * Places the prompts of all entries on a group of engines.
 *
 * <p>If 75 entries each know a tenth of the load, they let engines prefill the same prefixes again
 * and again, behind prompts that they don't know of. An entry that sees the whole load of some
 * engines sends a prompt to the engine that has its prefix cached and the shortest queue, without
 * messages to other entries. Its knowledge is lost if it fails; its successor rebuilds it from the
 * next answers.
 */
public final class SchedulerPart implements Part {

  /**
   * Time after a request's deadline at which its reservation expires if its end wasn't reported.
   */
  private static final Duration EXPIRY_MARGIN = Duration.ofSeconds(1);

  /**
   * Time within which an answer to any entry shows that an upstream isn't gone, although one entry
   * couldn't connect to it: that entry's links may be cut.
   */
  private static final Duration ANSWERS_TO_OTHERS = Duration.ofMillis(500);

  /** Interval at which expired reservations and engines that are gone are removed. */
  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

  /**
   * Maximum time for which an engine that asked one entry for a backoff is avoided for all entries.
   * It may accept requests of the others, but each that it refuses costs them an attempt.
   */
  private static final Duration MAX_AVOIDANCE = Duration.ofSeconds(1);

  private final RelayView view;
  private final ScheduledEngines engines;
  private final SchedulerRole role;
  private final LeastTimePicker picker;
  private final FairShares shares;
  private final Map<SchedulerGrant, Reservation> reservations = new HashMap<>();
  private Instant sweptAt = Instant.EPOCH;

  /**
   * Creates the part.
   *
   * @param entry this entry's view of the deployment
   * @param self peer name of this daemon
   * @param shares moves attempts of teams back that are over their fair share
   * @param seed seed of random choices
   */
  public SchedulerPart(RelayEntryPart entry, String self, FairShares shares, long seed) {
    this((RelayView) entry, self, shares, seed);
  }

  SchedulerPart(RelayView view, String self, FairShares shares, long seed) {
    this.view = view;
    this.shares = shares;
    this.engines = new ScheduledEngines(view);
    this.role = new SchedulerRole(view, self);
    this.picker =
        new LeastTimePicker(
            engines,
            new SchedulerColdStartLimiter(role),
            new RateLimiter(new SchedulerRateDivision(role)),
            seed);
  }

  /** A reservation of an attempt at an engine. */
  private static final class Reservation {
    private final RelayService service;
    private final String model;
    private final Placement placement;

    /** Urgency of the attempt at its engine. */
    private final int urgency;

    private final Instant grantedAt;
    private final Instant expiresAt;
    private double pendingMillis;
    private boolean answerBegun;

    private Reservation(
        RelayService service,
        String model,
        Placement placement,
        int urgency,
        Instant grantedAt,
        Instant expiresAt) {
      this.service = service;
      this.model = model;
      this.placement = placement;
      this.urgency = urgency;
      this.grantedAt = grantedAt;
      this.expiresAt = expiresAt;
      this.pendingMillis = placement.workMillis();
    }
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      role.tick(now);
      sweep(now);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      if (received.message() instanceof PlacementAsk ask) {
        output.effect(new SendToPeer(received.node(), answer(received.node(), ask, now, output)));
      } else if (received.message() instanceof PlacementNews report) {
        handleProgress(new SchedulerGrant(received.node(), report.number()), report, now);
      }
    }
  }

  private PlacementAnswer answer(String entry, PlacementAsk ask, Instant now, Output output) {
    RelayService service = view.table().service(ask.service());
    PromptPrefixes prefixes = prefixes(ask);
    // A group count of zero would halt the daemon with a division by zero.
    Placement picked =
        service == null || ask.groups() < 1 ? null : place(service, prefixes, ask, now);
    if (picked == null) {
      return new PlacementAnswer(ask.number(), null, 0, 0, 0, 0);
    }
    Placement placement = shift(picked, ask, now, output);
    TrackedUpstream upstream = placement.upstream();
    upstream.recordSent(placement.workMillis(), now);
    picker.recordSent(service, placement, now);
    upstream.prefixCache().recordSent(prefixes, placement.newTokens());
    Instant expiresAt = now.plusMillis(ask.lastsMillis()).plus(EXPIRY_MARGIN);
    reservations.put(
        new SchedulerGrant(entry, ask.number()),
        new Reservation(
            service,
            ask.model(),
            placement,
            Urgency.of(placement.workMillis(), ask.rank(), placement.shift()),
            now,
            expiresAt));
    return new PlacementAnswer(
        ask.number(),
        upstream.instance().id(),
        (int) placement.waitMillis(),
        (int) placement.workMillis(),
        (int) placement.firstByteMillis(),
        placement.newTokens(),
        placement.shift());
  }

  private Placement shift(Placement picked, PlacementAsk ask, Instant now, Output output) {
    TrackedUpstream engine = picked.upstream();
    PlacedAttempt attempt =
        new PlacedAttempt(
            ask.service(),
            ask.team(),
            ask.rank(),
            ask.objectiveMillis(),
            ask.lastsMillis(),
            engine.instance().id(),
            engine.waitingMillis(now),
            picked.shortestWaitMillis(),
            picked.waitMillis(),
            picked.workMillis(),
            ranks -> Urgency.of(picked.workMillis(), ask.rank(), ranks));
    AttemptShift decision = shares.decide(attempt, () -> groupSize(ask), now, output);
    return picked.shifted(decision.ranks(), decision.waitMillis());
  }

  /** Returns the number of engines of the query's service and group that receive requests. */
  private int groupSize(PlacementAsk ask) {
    return (int)
        engines.upstreams(ask.service()).stream()
            .filter(engine -> engine.condition() == UpstreamCondition.READY)
            .filter(
                engine -> EngineGroups.groupOf(engine.instance().id(), ask.groups()) == ask.group())
            .count();
  }

  private @Nullable Placement place(
      RelayService service, PromptPrefixes prefixes, PlacementAsk ask, Instant now) {
    Set<String> excluded = Set.copyOf(ask.excluded());
    PlacementQuery query =
        new PlacementQuery(
            service,
            ask.model(),
            prefixes,
            ask.objectiveMillis(),
            ask.zone(),
            engine ->
                EngineGroups.groupOf(engine.id(), ask.groups()) == ask.group()
                    && ask.versions().contains(engine.version())
                    && !excluded.contains(engine.id()));
    return picker.pick(query, now);
  }

  private static PromptPrefixes prefixes(PlacementAsk ask) {
    List<PromptPrefix> prefixes = ask.beginnings();
    long[] keys = prefixes.stream().mapToLong(PromptPrefix::key).toArray();
    int[] tokens = prefixes.stream().mapToInt(PromptPrefix::tokens).toArray();
    return PromptPrefixes.ofKeys(keys, tokens, ask.promptTokens());
  }

  private void handleProgress(SchedulerGrant grant, PlacementNews report, Instant now) {
    Reservation reservation = reservations.get(grant);
    if (reservation == null) {
      return;
    }
    TrackedUpstream upstream = reservation.placement.upstream();
    upstream.rate().updateIfNewer(report.named(), now);
    if (report.backoffMillis() > 0) {
      long avoidedMillis = Math.min(report.backoffMillis(), MAX_AVOIDANCE.toMillis());
      upstream.avoid(Duration.ofMillis(avoidedMillis), now);
    }
    switch (report.progress()) {
      case BEGUN -> answerBegun(reservation, report.millis(), now);
      case ENDED -> {
        if (reservation.answerBegun) {
          upstream.recordSuccess();
        }
      }
      case FAILED -> {
        if (report.backoffMillis() == 0) {
          upstream.recordFailure(false, now);
        }
      }
      case UNREACHABLE ->
          upstream.recordFailure(upstream.isSilentSince(now.minus(ANSWERS_TO_OTHERS)), now);
      case SILENT -> upstream.recordFailure(upstream.isSilentSince(reservation.grantedAt), now);
      default -> throw new IllegalArgumentException("unknown progress " + report.progress());
    }
    if (report.progress() != AttemptProgress.BEGUN) {
      reservations.remove(grant);
      releaseEnded(reservation);
    }
  }

  private void releaseEnded(Reservation reservation) {
    removeShifted(reservation);
    reservation.placement.upstream().recordEnded(reservation.pendingMillis);
  }

  private void removeShifted(Reservation reservation) {
    Placement placement = reservation.placement;
    if (placement.shift() > 0 && !reservation.answerBegun) {
      shares.recordStarted(
          placement.upstream().instance().id(), reservation.urgency, placement.workMillis());
    }
  }

  private void answerBegun(Reservation reservation, int millis, Instant now) {
    TrackedUpstream upstream = reservation.placement.upstream();
    removeShifted(reservation);
    upstream.recordBegun(reservation.pendingMillis);
    reservation.pendingMillis = 0;
    reservation.answerBegun = true;
    upstream.recordAnswered(now);
    picker.recordFirstByte(
        reservation.service, reservation.model, reservation.placement, millis, now);
  }

  /**
   * Releases the reservations of entries that have failed, which would otherwise count as in use
   * for ever.
   */
  private void sweep(Instant now) {
    if (now.isBefore(sweptAt.plus(SWEEP_INTERVAL))) {
      return;
    }
    sweptAt = now;
    shares.removeIdle(now);
    reservations
        .values()
        .removeIf(
            reservation -> {
              boolean isExpired = !now.isBefore(reservation.expiresAt);
              if (isExpired) {
                releaseEnded(reservation);
              }
              return isExpired;
            });
    engines.removeDeparted(
        view.table().configuration().services().stream().map(RelayService::name).toList());
  }
}
