package org.skylarkfork.core.waiting;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.SlotMessage.SlotAnswer;
import org.skylarkfork.core.message.SlotMessage.SlotAsk;
import org.skylarkfork.core.message.SlotMessage.SlotNews;
import org.skylarkfork.core.message.SlotMessage.SlotProgress;
import org.skylarkfork.core.routing.StableHash;

/**
 * An entry's side of the shared queues: asks the scheduler of a service for slots and reports the
 * ends of calls.
 *
 * <p>Each request has at most one ask or slot. Whatever happens to the scheduler or to messages, a
 * request that waits gets a decision within the answer timeout or the announced wait.
 */
public final class SlotClient {

  /**
   * Timeout for the first answer, after which the entry places the call itself; that of queries for
   * engines.
   */
  static final Duration ANSWER_TIMEOUT = Duration.ofMillis(75);

  /** Time after the announced wait at which the entry places the call itself. */
  static final Duration FOLLOW_UP_MARGIN = Duration.ofMillis(50);

  /** Time for which a scheduler that did not answer isn't asked. */
  static final Duration SILENCE_PAUSE = Duration.ofSeconds(1);

  /**
   * Ask numbers per millisecond of the clock; basing them on the clock keeps the numbers of a
   * process above those of earlier processes.
   */
  private static final int NUMBERS_PER_MILLI = 1024;

  private final Map<Long, OpenCall> byNumber = new LinkedHashMap<>();
  private final Map<Long, OpenCall> byRequest = new HashMap<>();
  private final Map<String, Instant> pausedUntil = new HashMap<>();
  private long lastNumber;

  /** A request's ask or slot. */
  private static final class OpenCall {
    private final long request;
    private final long number;
    private final String scheduler;
    private final Instant askedAt;
    private Instant answerDue;
    private boolean granted;
    private @Nullable Integer firstByteMillis;

    private OpenCall(long request, long number, String scheduler, Instant askedAt) {
      this.request = request;
      this.number = number;
      this.scheduler = scheduler;
      this.askedAt = askedAt;
      this.answerDue = askedAt.plus(ANSWER_TIMEOUT);
    }
  }

  /** Returns the scheduler that keeps the queue of a service, or null if there are none. */
  static @Nullable String schedulerOf(String service, List<String> schedulers) {
    String best = null;
    long highest = Long.MIN_VALUE;
    for (String scheduler : schedulers) {
      long hash = StableHash.of(service, scheduler);
      if (best == null || hash > highest) {
        best = scheduler;
        highest = hash;
      }
    }
    return best;
  }

  /**
   * Asks the scheduler of a service for a slot.
   *
   * @param request the call
   * @param schedulers peer names of the schedulers
   * @param now the present time
   * @param output receives the message
   * @return whether a scheduler was asked; if not, the entry places the call itself
   */
  public boolean ask(SlotRequest request, List<String> schedulers, Instant now, Output output) {
    release(request.request(), output);
    String scheduler = schedulerOf(request.service(), schedulers);
    if (scheduler == null || now.isBefore(pausedUntil.getOrDefault(scheduler, Instant.EPOCH))) {
      return false;
    }
    lastNumber = Math.max(lastNumber + 1, now.toEpochMilli() * NUMBERS_PER_MILLI);
    OpenCall call = new OpenCall(request.request(), lastNumber, scheduler, now);
    byNumber.put(call.number, call);
    byRequest.put(call.request, call);
    output.effect(
        new SendToPeer(
            scheduler,
            new SlotAsk(
                call.number,
                request.service(),
                request.zone(),
                request.team(),
                request.rank(),
                request.objectiveMillis(),
                request.leftMillis(),
                request.contentKey(),
                request.versions(),
                request.excluded())));
    return true;
  }

  /**
   * Handles a scheduler's answer. A slot that no request waits for any more is given back.
   *
   * @return the decision on a request, or null if there is none
   */
  public @Nullable SlotDecision onAnswer(
      String from, SlotAnswer answer, Instant now, Output output) {
    OpenCall call = byNumber.get(answer.number());
    if (call == null || !call.scheduler.equals(from)) {
      if (answer.upstream() != null) {
        send(from, answer.number(), SlotProgress.CANCELLED, 0, 0, output);
      }
      return null;
    }
    if (call.granted) {
      return null;
    }
    switch (answer.outcome()) {
      case QUEUED -> {
        call.answerDue = now.plusMillis(answer.waitMillis()).plus(FOLLOW_UP_MARGIN);
        return null;
      }
      case GRANTED -> {
        call.granted = true;
        return decision(call, SlotDecision.Action.USE_SLOT, answer, now);
      }
      case REFUSED -> {
        remove(call);
        return decision(call, SlotDecision.Action.REFUSE, answer, now);
      }
      default -> {
        remove(call);
        return decision(call, SlotDecision.Action.PLACE_OWN, answer, now);
      }
    }
  }

  private static SlotDecision decision(
      OpenCall call, SlotDecision.Action action, @Nullable SlotAnswer answer, Instant now) {
    return new SlotDecision(
        call.request,
        action,
        answer == null ? null : answer.upstream(),
        answer == null ? 0 : answer.retryAfterMillis(),
        call.scheduler,
        Duration.between(call.askedAt, now).toMillis());
  }

  /** Returns the requests whose scheduler did not answer in time; the entry places them itself. */
  public List<SlotDecision> takeTimedOut(Instant now, Output output) {
    List<SlotDecision> overdue = new ArrayList<>();
    for (OpenCall call : List.copyOf(byNumber.values())) {
      if (!call.granted && !now.isBefore(call.answerDue)) {
        pause(call.scheduler, now, output);
        release(call.request, output);
        overdue.add(decision(call, SlotDecision.Action.PLACE_OWN, null, now));
      }
    }
    return overdue;
  }

  private void pause(String scheduler, Instant now, Output output) {
    Instant before = pausedUntil.put(scheduler, now.plus(SILENCE_PAUSE));
    if (before == null || before.isBefore(now)) {
      String facts = "event=slot_scheduler_silent node=" + scheduler;
      output.effect(new TraceEffect.LogLine(true, "slots", facts));
    }
    pausedUntil.values().removeIf(until -> until.isBefore(now));
  }

  /** Records the first byte of the answer of a call that holds a slot. */
  public void recordFirstByte(long request, long millis) {
    OpenCall call = byRequest.get(request);
    if (call != null && call.granted) {
      call.firstByteMillis = (int) millis;
    }
  }

  /**
   * Reports how a call that holds a slot has failed; does nothing if it holds none.
   *
   * @param request number of the request
   * @param progress how it has failed
   * @param backoff time for which the upstream asked for no calls, or zero
   * @param output receives the message
   */
  public void reportFailure(long request, SlotProgress progress, Duration backoff, Output output) {
    OpenCall call = byRequest.get(request);
    if (call != null && call.granted) {
      remove(call);
      send(call.scheduler, call.number, progress, 0, (int) backoff.toMillis(), output);
    }
  }

  /**
   * Ends the ask or slot of a request, if it has one: as an answered call if its answer has begun,
   * else as one that was cancelled.
   */
  public void release(long request, Output output) {
    OpenCall call = byRequest.get(request);
    if (call != null) {
      remove(call);
      Integer millis = call.firstByteMillis;
      SlotProgress progress = millis == null ? SlotProgress.CANCELLED : SlotProgress.ENDED;
      send(call.scheduler, call.number, progress, millis == null ? 0 : millis, 0, output);
    }
  }

  private void remove(OpenCall call) {
    byNumber.remove(call.number);
    byRequest.remove(call.request);
  }

  private static void send(
      String scheduler,
      long number,
      SlotProgress progress,
      int millis,
      int backoffMillis,
      Output output) {
    output.effect(new SendToPeer(scheduler, new SlotNews(number, progress, millis, backoffMillis)));
  }
}
