package org.skylarkfork.standin.measure.daemon;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.RunState;

/** What became of each request of a run, as its caller and the upstreams saw it. */
final class Scores {

  private static final int SERVER_ERROR = 500;

  private final Map<String, Ended> ended = new HashMap<>();
  private final Map<String, Long> firstTokens = new HashMap<>();
  private final Set<String> started = new HashSet<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private final Map<String, ModelVersion> sessions = new HashMap<>();
  private int endedTwice;
  private int moved;

  /**
   * How a request ended.
   *
   * @param atMicros when, in microseconds after the run's begin
   * @param error what the caller was told instead of an answer, or null for an answer
   * @param version version that answered, or null
   * @param costMicros what it cost
   */
  record Ended(
      long atMicros,
      @Nullable RoutingError error,
      @Nullable ModelVersion version,
      long costMicros) {

    boolean answered() {
      return error == null;
    }
  }

  /** Takes note that an upstream began to work on a request. */
  void started(String requestId) {
    started.add(requestId);
  }

  /** Takes note that a server runs a call; more than one run of an issuing call is a fault. */
  void ran(Ask ask) {
    if (ask.kind() == Flow.Kind.ISSUE) {
      runs.merge(ask.billingKey(), 1, Integer::sum);
    }
  }

  /** Takes what a caller is sent; returns whether it is the last of the request. */
  boolean sent(Ask ask, CallerEffect effect, long atMicros, Predicate<ModelVersion> isWithdrawn) {
    if (effect instanceof CallerEffect.BeginStream) {
      return false;
    }
    if (effect instanceof CallerEffect.SendTokens) {
      firstTokens.putIfAbsent(effect.requestId(), atMicros);
      return false;
    }
    firstTokens.putIfAbsent(effect.requestId(), atMicros);
    Ended end = end(effect, atMicros);
    if (ended.putIfAbsent(effect.requestId(), end) != null) {
      endedTwice++;
    }
    if (end.answered() && end.version() != null) {
      followSession(ask, end.version(), isWithdrawn);
    }
    return true;
  }

  private static Ended end(CallerEffect effect, long atMicros) {
    if (effect instanceof CallerEffect.Refuse refuse) {
      return endedWith(atMicros, refuse.error(), refuse.facts());
    }
    if (effect instanceof CallerEffect.BreakStream broken) {
      return endedWith(atMicros, broken.error(), broken.facts());
    }
    if (effect instanceof CallerEffect.EndStream whole) {
      return endedWith(atMicros, null, whole.facts());
    }
    if (effect instanceof CallerEffect.SendDraft draft) {
      return endedWith(atMicros, null, draft.facts());
    }
    CallerEffect.SendServiceAnswer answer = (CallerEffect.SendServiceAnswer) effect;
    return answer.status() < SERVER_ERROR
        ? endedWith(atMicros, null, answer.facts())
        : new Ended(atMicros, null, null, 0);
  }

  private static Ended endedWith(
      long atMicros, @Nullable RoutingError error, AnswerMetadata facts) {
    String model = facts.model();
    String version = facts.version();
    ModelVersion by = model == null || version == null ? null : new ModelVersion(model, version);
    return new Ended(atMicros, error, by, facts.costMicros());
  }

  private void followSession(Ask ask, ModelVersion version, Predicate<ModelVersion> isWithdrawn) {
    String session = ask.request().session();
    // An answer that was under way when its version was withdrawn may end after a newer one.
    if (session == null || isWithdrawn.test(version)) {
      return;
    }
    String key = ask.team() + "/" + session + "/" + version.model();
    ModelVersion before = sessions.put(key, version);
    if (before != null && !before.equals(version) && !isWithdrawn.test(before)) {
      moved++;
    }
  }

  @Nullable Ended ended(Ask ask) {
    return ended.get(ask.request().requestId());
  }

  /** Returns when the first token of a draft was sent, or null. */
  @Nullable Long firstToken(Ask ask) {
    return firstTokens.get(ask.request().requestId());
  }

  /** Returns whether a refusal says that a request was not run although it was. */
  boolean isFalseNotRun(Ask ask) {
    Ended end = ended(ask);
    return end != null
        && end.error() != null
        && end.error().runState() == RunState.NOT_RUN
        && started.contains(ask.request().requestId());
  }

  /** Returns how many runs of issuing calls were too many. */
  int doubles() {
    return runs.values().stream().mapToInt(count -> count - 1).sum();
  }

  int endedTwice() {
    return endedTwice;
  }

  int moved() {
    return moved;
  }
}
