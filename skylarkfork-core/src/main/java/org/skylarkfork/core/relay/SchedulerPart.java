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
 * <p>Seventy-five entries that each know a tenth of the work have engines read the same beginnings
 * again and again, behind prompts of which they know nothing. One entry that sees all work of some
 * engines sends a prompt where it is kept, behind the least reading, without a word to others. What
 * it knows is lost with it: its successor learns it from the next answers.
 */
public final class SchedulerPart implements Part {

  /** Time after a request's end at which its place counts as free though nobody told so. */
  private static final Duration MARGIN = Duration.ofSeconds(1);

  /** Time between two looks for places and engines that nobody told of. */
  private static final Duration SWEEP = Duration.ofSeconds(1);

  private final RelayView view;
  private final ScheduledEngines engines;
  private final SchedulerRole role;
  private final LeastTimePicker picker;
  private final Map<SchedulerGrant, Reservation> places = new HashMap<>();
  private Instant sweptAt = Instant.EPOCH;

  /**
   * Makes the part.
   *
   * @param entry what this entry believes
   * @param self peer name of this daemon
   * @param seed seed of random choices
   */
  public SchedulerPart(RelayEntryPart entry, String self, long seed) {
    this((RelayView) entry, self, seed);
  }

  SchedulerPart(RelayView view, String self, long seed) {
    this.view = view;
    this.engines = new ScheduledEngines(view);
    this.role = new SchedulerRole(view, self);
    this.picker =
        new LeastTimePicker(
            engines,
            new SchedulerColdStartLimiter(role),
            new RateLimiter(new SchedulerRateDivision(role)),
            seed);
  }

  /** A place that an attempt has at an engine. */
  private static final class Reservation {
    private final RelayService service;
    private final String model;
    private final Placement placement;
    private final Instant givenAt;
    private final Instant expiresAt;
    private double waitingMillis;
    private boolean begun;

    private Reservation(
        RelayService service,
        String model,
        Placement placement,
        Instant givenAt,
        Instant expiresAt) {
      this.service = service;
      this.model = model;
      this.placement = placement;
      this.givenAt = givenAt;
      this.expiresAt = expiresAt;
      this.waitingMillis = placement.workMillis();
    }
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      role.tick(now);
      sweep(now);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      if (received.message() instanceof PlacementAsk ask) {
        output.effect(new SendToPeer(received.node(), answer(received.node(), ask, now)));
      } else if (received.message() instanceof PlacementNews news) {
        progressed(new SchedulerGrant(received.node(), news.number()), news, now);
      }
    }
  }

  private PlacementAnswer answer(String entry, PlacementAsk ask, Instant now) {
    RelayService service = view.table().service(ask.service());
    PromptPrefixes chain = chain(ask);
    Placement placement = service == null ? null : place(service, chain, ask, now);
    if (placement == null) {
      return new PlacementAnswer(ask.number(), null, 0, 0, 0, 0);
    }
    TrackedUpstream track = placement.upstream();
    track.recordSent(placement.workMillis(), now);
    picker.recordSent(service, placement, now);
    track.prefixCache().recordSent(chain, placement.newTokens());
    Instant expiresAt = now.plusMillis(ask.lastsMillis()).plus(MARGIN);
    places.put(
        new SchedulerGrant(entry, ask.number()),
        new Reservation(service, ask.model(), placement, now, expiresAt));
    return new PlacementAnswer(
        ask.number(),
        track.instance().id(),
        (int) placement.waitMillis(),
        (int) placement.workMillis(),
        (int) placement.firstByteMillis(),
        placement.newTokens());
  }

  private @Nullable Placement place(
      RelayService service, PromptPrefixes chain, PlacementAsk ask, Instant now) {
    Set<String> excluded = Set.copyOf(ask.excluded());
    PlacementQuery query =
        new PlacementQuery(
            service,
            ask.model(),
            chain,
            ask.objectiveMillis(),
            ask.zone(),
            engine ->
                EngineGroups.groupOf(engine.id(), ask.groups()) == ask.group()
                    && ask.versions().contains(engine.version())
                    && !excluded.contains(engine.id()));
    return picker.pick(query, now);
  }

  private static PromptPrefixes chain(PlacementAsk ask) {
    List<PromptPrefix> beginnings = ask.beginnings();
    long[] keys = beginnings.stream().mapToLong(PromptPrefix::key).toArray();
    int[] tokens = beginnings.stream().mapToInt(PromptPrefix::tokens).toArray();
    return PromptPrefixes.ofKeys(keys, tokens, ask.promptTokens());
  }

  private void progressed(SchedulerGrant grant, PlacementNews news, Instant now) {
    Reservation place = places.get(grant);
    if (place == null) {
      return;
    }
    TrackedUpstream track = place.placement.upstream();
    track.rate().updateIfNewer(news.named(), now);
    switch (news.progress()) {
      case BEGUN -> begun(place, news.millis(), now);
      case ENDED -> {
        if (place.begun) {
          track.recordSuccess();
        }
      }
      case FAILED -> track.recordFailure(false, now);
      case UNREACHABLE -> track.recordFailure(true, now);
      case SILENT -> track.recordFailure(track.isSilentSince(place.givenAt), now);
      default -> throw new IllegalArgumentException("unknown progress " + news.progress());
    }
    if (news.progress() != AttemptProgress.BEGUN) {
      places.remove(grant);
      track.recordEnded(place.waitingMillis);
    }
  }

  private void begun(Reservation place, int millis, Instant now) {
    TrackedUpstream track = place.placement.upstream();
    track.recordBegun(place.waitingMillis);
    place.waitingMillis = 0;
    place.begun = true;
    track.recordAnswered(now);
    picker.recordFirstByte(place.service, place.model, place.placement, millis, now);
  }

  /** Frees places of entries that died, which would count as taken for ever. */
  private void sweep(Instant now) {
    if (now.isBefore(sweptAt.plus(SWEEP))) {
      return;
    }
    sweptAt = now;
    places
        .values()
        .removeIf(
            place -> {
              boolean over = !now.isBefore(place.expiresAt);
              if (over) {
                place.placement.upstream().recordEnded(place.waitingMillis);
              }
              return over;
            });
    engines.removeDeparted(
        view.table().configuration().services().stream().map(RelayService::name).toList());
  }
}
