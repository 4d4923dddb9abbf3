package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.RelayMessage.AttemptProgress;
import org.skylarkfork.core.message.RelayMessage.PlacementAnswer;
import org.skylarkfork.core.message.RelayMessage.PlacementAsk;
import org.skylarkfork.core.message.RelayMessage.PlacementNews;
import org.skylarkfork.core.message.RelayMessage.PromptPrefix;
import org.skylarkfork.core.placement.EngineGroups;
import org.skylarkfork.core.placement.PromptPrefixes;

/**
 * Asks schedulers where prompts go, and tells them how the attempts go on.
 *
 * <p>With many entries each one sees a hundredth of the work of the engines. A scheduler sees all
 * work of its group of engines; a request needs one question to it, whatever the number of entries.
 */
final class SchedulerClient {

  /**
   * Longest wait for a scheduler's answer, after which the entry places the prompt itself. The way
   * there and back takes 2 ms between availability zones; a first byte takes some hundreds.
   */
  private static final Duration PATIENCE = Duration.ofMillis(75);

  /**
   * Time for which a scheduler that was silent isn't asked. Control VMs replace a lost one within
   * three seconds; until then one request a second waits for it in vain.
   */
  private static final Duration PAUSE = Duration.ofSeconds(1);

  /** Question numbers of one process lie above those of earlier ones by its start. */
  private static final int NUMBERS_A_MILLI = 1024;

  private final RelayView view;
  private final Map<Long, OpenQuestion> asked = new LinkedHashMap<>();
  private final Map<String, Instant> pausedUntil = new HashMap<>();
  private long number;

  SchedulerClient(RelayView view) {
    this.view = view;
  }

  /** A question that is open, and whether it is for a larger model in place of an answer. */
  private record OpenQuestion(
      ActiveRelay relay,
      String scheduler,
      PromptPrefixes chain,
      Instant askedAt,
      boolean isEscalation) {}

  /**
   * A scheduler's word on a request.
   *
   * @param relay the request
   * @param isEscalation whether it was asked for a larger model in place of an answer
   * @param placement where the attempt goes, or null if the entry is to place it itself
   * @param grant what the scheduler is to be told of, or null
   */
  record SchedulerDecision(
      ActiveRelay relay,
      boolean isEscalation,
      @Nullable Placement placement,
      @Nullable SchedulerGrant grant) {}

  /**
   * Asks for an engine.
   *
   * @param relay the request
   * @param query what is to be placed
   * @param isEscalation whether it is a larger model in place of an answer
   * @param now the present time
   * @param output takes what is to be done
   * @return whether a scheduler was asked; if not, the entry places the prompt itself
   */
  boolean ask(ActiveRelay relay, PlacementQuery query, boolean larger, Instant now, Output output) {
    cancel(relay);
    PromptPrefixes chain = query.prefixes();
    List<String> schedulers = view.schedulers();
    if (chain == null || schedulers.isEmpty()) {
      return false;
    }
    for (int group : EngineGroups.rank(family(chain, relay), weights(query, schedulers.size()))) {
      String scheduler = schedulers.get(group);
      if (!now.isBefore(pausedUntil.getOrDefault(scheduler, Instant.EPOCH))) {
        number = Math.max(number + 1, now.toEpochMilli() * NUMBERS_A_MILLI);
        relay.placementQuery = number;
        asked.put(number, new OpenQuestion(relay, scheduler, chain, now, larger));
        output.effect(new SendToPeer(scheduler, message(relay, query, chain, group, now)));
        return true;
      }
    }
    return false;
  }

  /** Returns what a prompt has in common with others: its shared parts, else it alone. */
  private static long family(PromptPrefixes chain, ActiveRelay relay) {
    if (chain.sharedSize() > 0) {
      return chain.key(chain.sharedSize() - 1);
    }
    return chain.size() > 0 ? chain.key(0) : relay.request.number();
  }

  private int[] weights(PlacementQuery query, int groups) {
    int[] weights = new int[groups];
    for (TrackedUpstream track : view.upstreams(query.service().name())) {
      boolean usable =
          track.condition() == UpstreamCondition.READY && query.eligible().test(track.instance());
      weights[EngineGroups.groupOf(track.instance().id(), groups)] += usable ? 1 : 0;
    }
    return weights;
  }

  private PlacementAsk message(
      ActiveRelay relay, PlacementQuery query, PromptPrefixes chain, int group, Instant now) {
    List<PromptPrefix> beginnings = new ArrayList<>();
    for (int place = 0; place < chain.size(); place++) {
      beginnings.add(new PromptPrefix(chain.key(place), chain.tokens(place)));
    }
    Set<String> versions = versions(query);
    return new PlacementAsk(
        number,
        group,
        view.schedulers().size(),
        query.service().name(),
        String.valueOf(query.model()),
        query.zone(),
        beginnings,
        chain.totalTokens(),
        query.objectiveMillis(),
        List.copyOf(versions),
        excluded(query, versions),
        (int) Math.max(0, Duration.between(now, relay.deadline).toMillis()));
  }

  private Set<String> versions(PlacementQuery query) {
    Set<String> versions = new LinkedHashSet<>();
    for (TrackedUpstream track : view.upstreams(query.service().name())) {
      if (query.eligible().test(track.instance())) {
        versions.add(track.instance().version());
      }
    }
    return versions;
  }

  /** Returns the engines of some versions that may not get it all the same. */
  private List<String> excluded(PlacementQuery query, Set<String> versions) {
    List<String> excluded = new ArrayList<>();
    for (TrackedUpstream track : view.upstreams(query.service().name())) {
      UpstreamInstance engine = track.instance();
      boolean barred = !query.eligible().test(engine) || track.condition().rejectsNewWork();
      if (barred && versions.contains(engine.version())) {
        excluded.add(engine.id());
      }
    }
    return excluded;
  }

  /**
   * Takes a scheduler's answer.
   *
   * <p>An answer that nobody waits for any more has taken an engine's place for nothing, so the
   * scheduler is told that it is free. The directory here may be newer than the scheduler's: an
   * engine that leaves, or whose zone is evacuated, gets nothing, whoever names it.
   *
   * @return the request that goes on, or null if none waits for this answer
   */
  @Nullable SchedulerDecision handleAnswer(String from, PlacementAnswer answer, Output output) {
    OpenQuestion one = asked.remove(answer.number());
    boolean expected = one != null && one.relay.placementQuery == answer.number();
    String upstream = answer.upstream();
    TrackedUpstream track = expected && upstream != null ? find(one.relay, upstream) : null;
    if (upstream != null && track == null) {
      reportProgress(new SchedulerGrant(from, answer.number()), AttemptProgress.ENDED, 0, output);
    }
    if (!expected) {
      return null;
    }
    one.relay.placementQuery = 0;
    if (track == null) {
      return new SchedulerDecision(one.relay, one.isEscalation, null, null);
    }
    Placement placement =
        new Placement(
            track,
            answer.waitMillis(),
            answer.workMillis(),
            answer.firstByteMillis(),
            answer.newTokens(),
            one.chain);
    SchedulerGrant grant = new SchedulerGrant(from, answer.number());
    return new SchedulerDecision(one.relay, one.isEscalation, placement, grant);
  }

  private @Nullable TrackedUpstream find(ActiveRelay relay, String upstream) {
    for (TrackedUpstream track : view.upstreams(relay.service.name())) {
      if (track.instance().id().equals(upstream)) {
        return track.condition().rejectsNewWork() ? null : track;
      }
    }
    return null;
  }

  /** Returns the requests whose scheduler keeps silent, which this entry is to place itself. */
  List<SchedulerDecision> takeTimedOut(Instant now, Output output) {
    List<SchedulerDecision> overdue = new ArrayList<>();
    for (Map.Entry<Long, OpenQuestion> open : List.copyOf(asked.entrySet())) {
      OpenQuestion one = open.getValue();
      if (now.isBefore(one.askedAt.plus(PATIENCE))) {
        break;
      }
      asked.remove(open.getKey());
      pause(one.scheduler, now, output);
      if (one.relay.placementQuery == open.getKey()) {
        one.relay.placementQuery = 0;
        overdue.add(new SchedulerDecision(one.relay, one.isEscalation, null, null));
      }
    }
    return overdue;
  }

  private void pause(String scheduler, Instant now, Output output) {
    Instant before = pausedUntil.put(scheduler, now.plus(PAUSE));
    if (before == null || before.isBefore(now)) {
      String facts = "event=scheduler_silent node=" + scheduler;
      output.effect(new TraceEffect.LogLine(true, "relay", facts));
    }
  }

  /** Forgets the question of a request that needs no answer any more. */
  void cancel(ActiveRelay relay) {
    if (relay.placementQuery != 0) {
      asked.remove(relay.placementQuery);
      relay.placementQuery = 0;
    }
  }

  /** Tells a scheduler how an attempt goes on that it placed. */
  void reportProgress(SchedulerGrant grant, AttemptProgress progress, long millis, Output output) {
    reportProgress(grant, progress, millis, null, output);
  }

  /** Tells a scheduler how an attempt goes on, and what its engine said of its rate limit. */
  void reportProgress(
      SchedulerGrant grant,
      AttemptProgress progress,
      long millis,
      @Nullable ReportedLimit named,
      Output output) {
    output.effect(
        new SendToPeer(
            grant.scheduler(), new PlacementNews(grant.number(), progress, (int) millis, named)));
  }
}
