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
 * Asks schedulers for the placement of prompts and reports the progress of the attempts to them.
 *
 * <p>With many entries each one sees a hundredth of the load of the engines. A scheduler sees the
 * whole load of its group of engines, and a request needs one query to it, whatever the number of
 * entries.
 */
final class SchedulerClient {

  /**
   * Timeout for a scheduler's answer, after which the entry places the prompt itself. A round trip
   * between availability zones takes 2 ms, and a first byte some hundreds.
   */
  private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(75);

  /**
   * Time for which a scheduler that did not answer receives no queries. Control VMs replace a lost
   * scheduler within three seconds; until then one request per second waits for the timeout.
   */
  private static final Duration SILENCE_PAUSE = Duration.ofSeconds(1);

  /**
   * Query numbers per millisecond of the clock; basing them on the clock keeps the numbers of a
   * process above those of earlier processes.
   */
  private static final int NUMBERS_PER_MILLI = 1024;

  private final RelayView view;
  private final Map<Long, OpenQuery> openQueries = new LinkedHashMap<>();
  private final Map<String, Instant> pausedUntil = new HashMap<>();
  private long lastNumber;

  SchedulerClient(RelayView view) {
    this.view = view;
  }

  /** An open query, and whether it is an escalation to a larger model. */
  private record OpenQuery(
      ActiveRelay relay,
      String scheduler,
      PromptPrefixes prefixes,
      Instant askedAt,
      boolean isEscalation) {}

  /**
   * A scheduler's decision on a request.
   *
   * @param relay the request
   * @param isEscalation whether the query was for an escalation to a larger model
   * @param placement where the attempt goes, or null if the entry is to place it itself
   * @param grant the grant to report progress on, or null
   */
  record SchedulerDecision(
      ActiveRelay relay,
      boolean isEscalation,
      @Nullable Placement placement,
      @Nullable SchedulerGrant grant) {}

  /**
   * Asks a scheduler for an engine.
   *
   * @param relay the request
   * @param query the attempt to place
   * @param escalates whether the attempt is an escalation to a larger model
   * @param now the present time
   * @param output receives the effects
   * @return whether a scheduler was asked; if not, the entry places the prompt itself
   */
  boolean sendQuery(
      ActiveRelay relay, PlacementQuery query, boolean escalates, Instant now, Output output) {
    cancel(relay);
    PromptPrefixes prefixes = query.prefixes();
    List<String> schedulers = view.schedulers();
    if (prefixes == null || schedulers.isEmpty()) {
      return false;
    }
    for (int group :
        EngineGroups.rank(
            sharedPrefixKey(prefixes, relay), weights(query, schedulers.size(), now))) {
      String scheduler = schedulers.get(group);
      if (!now.isBefore(pausedUntil.getOrDefault(scheduler, Instant.EPOCH))) {
        lastNumber = Math.max(lastNumber + 1, now.toEpochMilli() * NUMBERS_PER_MILLI);
        relay.placementQuery = lastNumber;
        openQueries.put(lastNumber, new OpenQuery(relay, scheduler, prefixes, now, escalates));
        output.effect(new SendToPeer(scheduler, message(relay, query, prefixes, group, now)));
        return true;
      }
    }
    return false;
  }

  /**
   * Returns a key that a prompt has in common with related ones: the key of its shared parts, or
   * its own if it shares none.
   */
  private static long sharedPrefixKey(PromptPrefixes prefixes, ActiveRelay relay) {
    if (prefixes.sharedSize() > 0) {
      return prefixes.key(prefixes.sharedSize() - 1);
    }
    return prefixes.size() > 0 ? prefixes.key(0) : relay.request.number();
  }

  private int[] weights(PlacementQuery query, int groups, Instant now) {
    int[] weights = new int[groups];
    for (TrackedUpstream candidate : view.upstreams(query.service().name())) {
      boolean usable =
          candidate.condition() == UpstreamCondition.READY
              && !candidate.backoff().isActive(now)
              && query.eligible().test(candidate.instance());
      weights[EngineGroups.groupOf(candidate.instance().id(), groups)] += usable ? 1 : 0;
    }
    return weights;
  }

  private PlacementAsk message(
      ActiveRelay relay, PlacementQuery query, PromptPrefixes prefixes, int group, Instant now) {
    List<PromptPrefix> promptPrefixes = new ArrayList<>();
    for (int index = 0; index < prefixes.size(); index++) {
      promptPrefixes.add(new PromptPrefix(prefixes.key(index), prefixes.tokens(index)));
    }
    Set<String> versions = versions(query);
    return new PlacementAsk(
        lastNumber,
        group,
        view.schedulers().size(),
        query.service().name(),
        String.valueOf(query.model()),
        query.zone(),
        promptPrefixes,
        prefixes.totalTokens(),
        query.objectiveMillis(),
        List.copyOf(versions),
        excluded(query, versions, now),
        (int) Math.max(0, Duration.between(now, relay.deadline).toMillis()),
        relay.team == null ? "" : relay.team.name(),
        Urgency.priority(relay));
  }

  private Set<String> versions(PlacementQuery query) {
    Set<String> versions = new LinkedHashSet<>();
    for (TrackedUpstream candidate : view.upstreams(query.service().name())) {
      if (query.eligible().test(candidate.instance())) {
        versions.add(candidate.instance().version());
      }
    }
    return versions;
  }

  /**
   * Returns the engines of some versions that may not receive the attempt although their versions
   * may.
   */
  private List<String> excluded(PlacementQuery query, Set<String> versions, Instant now) {
    List<String> excluded = new ArrayList<>();
    for (TrackedUpstream candidate : view.upstreams(query.service().name())) {
      UpstreamInstance engine = candidate.instance();
      boolean ineligible = !query.eligible().test(engine) || rejectsNewWork(candidate, now);
      if (ineligible && versions.contains(engine.version())) {
        excluded.add(engine.id());
      }
    }
    return excluded;
  }

  /**
   * Handles a scheduler's answer.
   *
   * <p>An answer that no request waits for any more has reserved capacity of an engine, so its end
   * is reported to the scheduler. This entry may know more than the scheduler: an engine that is
   * leaving, whose zone is evacuated, or that asked this entry for a backoff, receives nothing even
   * if a scheduler selects it.
   *
   * @return the decision on the request, or null if no request waits for this answer
   */
  @Nullable SchedulerDecision handleAnswer(
      String from, PlacementAnswer answer, Instant now, Output output) {
    OpenQuery pending = openQueries.remove(answer.number());
    boolean isExpected = pending != null && pending.relay.placementQuery == answer.number();
    String upstream = answer.upstream();
    TrackedUpstream selected =
        isExpected && upstream != null ? find(pending.relay, upstream, now) : null;
    if (upstream != null && selected == null) {
      reportProgress(new SchedulerGrant(from, answer.number()), AttemptProgress.ENDED, 0, output);
    }
    if (!isExpected) {
      return null;
    }
    pending.relay.placementQuery = 0;
    if (selected == null) {
      return new SchedulerDecision(pending.relay, pending.isEscalation, null, null);
    }
    Placement placement =
        new Placement(
            selected,
            answer.waitMillis(),
            answer.workMillis(),
            answer.firstByteMillis(),
            answer.newTokens(),
            pending.prefixes,
            answer.waitMillis(),
            Math.max(0, answer.shift()));
    SchedulerGrant grant = new SchedulerGrant(from, answer.number());
    return new SchedulerDecision(pending.relay, pending.isEscalation, placement, grant);
  }

  private @Nullable TrackedUpstream find(ActiveRelay relay, String upstream, Instant now) {
    for (TrackedUpstream candidate : view.upstreams(relay.service.name())) {
      if (candidate.instance().id().equals(upstream)) {
        return rejectsNewWork(candidate, now) ? null : candidate;
      }
    }
    return null;
  }

  private static boolean rejectsNewWork(TrackedUpstream upstream, Instant now) {
    return upstream.condition().rejectsNewWork() || upstream.backoff().isActive(now);
  }

  /**
   * Returns the requests whose scheduler did not answer in time; this entry is to place them
   * itself.
   */
  List<SchedulerDecision> takeTimedOut(Instant now, Output output) {
    List<SchedulerDecision> overdue = new ArrayList<>();
    for (Map.Entry<Long, OpenQuery> open : List.copyOf(openQueries.entrySet())) {
      OpenQuery pending = open.getValue();
      if (now.isBefore(pending.askedAt.plus(ANSWER_TIMEOUT))) {
        break;
      }
      openQueries.remove(open.getKey());
      pause(pending.scheduler, now, output);
      if (pending.relay.placementQuery == open.getKey()) {
        pending.relay.placementQuery = 0;
        overdue.add(new SchedulerDecision(pending.relay, pending.isEscalation, null, null));
      }
    }
    return overdue;
  }

  private void pause(String scheduler, Instant now, Output output) {
    Instant before = pausedUntil.put(scheduler, now.plus(SILENCE_PAUSE));
    if (before == null || before.isBefore(now)) {
      String facts = "event=scheduler_silent node=" + scheduler;
      output.effect(new TraceEffect.LogLine(true, "relay", facts));
    }
  }

  /** Discards the query of a request that needs no answer any more. */
  void cancel(ActiveRelay relay) {
    if (relay.placementQuery != 0) {
      openQueries.remove(relay.placementQuery);
      relay.placementQuery = 0;
    }
  }

  /** Reports to a scheduler the progress of an attempt that it placed. */
  void reportProgress(SchedulerGrant grant, AttemptProgress progress, long millis, Output output) {
    reportProgress(grant, progress, millis, null, Duration.ZERO, output);
  }

  /**
   * Reports to a scheduler the progress of an attempt, and what its engine reported.
   *
   * @param grant the scheduler's grant of the attempt
   * @param progress what has happened to the attempt
   * @param millis time since the attempt was sent, in milliseconds
   * @param reported the engine's rate limit, or null if it never reported one
   * @param backoff time for which the engine asked this entry to send nothing, or zero
   * @param output receives the message
   */
  void reportProgress(
      SchedulerGrant grant,
      AttemptProgress progress,
      long millis,
      @Nullable ReportedLimit reported,
      Duration backoff,
      Output output) {
    output.effect(
        new SendToPeer(
            grant.scheduler(),
            new PlacementNews(
                grant.number(), progress, (int) millis, reported, (int) backoff.toMillis())));
  }
}
