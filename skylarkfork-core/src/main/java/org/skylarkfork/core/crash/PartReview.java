package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.CrashMessage.ObservedPart;
import org.skylarkfork.core.message.CrashMessage.PartsObserved;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.message.CrashMessage.SuspectedPart;

/**
 * Decides which suspected parts of prompts crash upstreams, after all entries were asked what they
 * observed of requests with them.
 *
 * <p>A popular part is lost in each end of an upstream, whatever has caused it. Entries report only
 * what they lost, so the reviewer asks them which suspected parts they have answered since. A part
 * is identified only if none was, although other requests of the service were answered: after an
 * outage of all upstreams a harmless part is answered as soon as others are.
 */
final class PartReview {

  /** Ends from which on entries are asked about a part, one less than needed to identify it. */
  private static final int MIN_ENDS_TO_ASK = Suspicion.MIN_ENDS - 1;

  /** Interval between questions about the same part; messages may be lost. */
  private static final Duration ASK_INTERVAL = Duration.ofMillis(100);

  /** Time in which entries answer a question. */
  private static final Duration ANSWER_TIME = Duration.ofMillis(150);

  /** Maximum time for which a decision waits for attempts in progress. */
  private static final Duration MAX_WAIT = Duration.ofSeconds(1);

  /** Maximum number of parts in a question, those with the most ends. */
  private static final int MAX_ASKED = 32;

  /** Minimum number of answers without the part. */
  private static final int MIN_OTHER_ANSWERS = 5;

  /**
   * Minimum number of answers with a part that would be expected if it were harmless, from the
   * share that requests with it have among the lost ones, times the square of the number of
   * different requests that were lost with it, times the share of the ends that it accounts for.
   * The more requests and ends speak against a part, the fewer missing answers are needed, and the
   * fewer upstreams end until then.
   */
  private static final double MIN_EXPECTED_ANSWERS = 64;

  /**
   * Number of different requests lost with a part from which on it doesn't count how many ends
   * others account for: several parts may crash upstreams at the same time.
   */
  private static final int MANY_REQUESTS = 5;

  private static final int PERCENT = 100;

  private final Map<RequestKey, Question> questions = new HashMap<>();
  private Instant askedAt = Instant.EPOCH;

  /**
   * A part that crashes upstreams.
   *
   * @param key key of the part
   * @param reason log line with the reason
   */
  record IdentifiedPart(RequestKey key, String reason) {}

  /** What entries observed of requests with a part. */
  private static final class Question {
    private final Instant askedFirstAt;
    private final Map<String, ObservedPart> observations = new HashMap<>();
    private @Nullable Instant sufficientAt;

    private Question(Instant askedFirstAt) {
      this.askedFirstAt = askedFirstAt;
    }

    private boolean isAnswering() {
      return observations.values().stream().anyMatch(ObservedPart::answering);
    }

    private int otherAnswers() {
      return observations.values().stream().mapToInt(ObservedPart::otherAnswers).sum();
    }
  }

  /** Discards all questions. */
  void clear() {
    questions.clear();
    askedAt = Instant.EPOCH;
  }

  /** Returns whether entries are to be asked again. */
  boolean isDue(Instant now) {
    return !questions.isEmpty() && !now.isBefore(askedAt.plus(ASK_INTERVAL));
  }

  /**
   * Records what an entry observed.
   *
   * @return the parts that the entry has answered, with the times since then
   */
  List<ObservedPart> recordObservations(String entry, PartsObserved observed) {
    List<ObservedPart> served = new ArrayList<>();
    for (ObservedPart part : observed.parts()) {
      Question question = questions.get(part.key());
      if (part.wasServed()) {
        questions.remove(part.key());
        served.add(part);
      } else if (question != null) {
        question.observations.put(entry, part);
      }
    }
    return served;
  }

  /** Returns the parts that are identified as crashing their upstreams, with the reasons. */
  List<IdentifiedPart> findCrashing(CrashEvidence evidence, Instant now) {
    List<IdentifiedPart> crashing = new ArrayList<>();
    for (Suspicion part : evidence.suspectedParts()) {
      Question question = questions.get(part.key());
      if (question != null
          && evidence.standsOutAmongParts(part)
          && isDecided(part, evidence.coverage(part), question, now)) {
        crashing.add(new IdentifiedPart(part.key(), describe(part, question)));
      }
    }
    return crashing;
  }

  private static String describe(Suspicion part, Question question) {
    return "event=part_identified key="
        + part.key()
        + " ends="
        + part.ends()
        + " requests="
        + part.contents().size()
        + " teams="
        + part.teams()
        + " share_of_lost="
        + Math.round(part.shareOfLost() * PERCENT)
        + " answers_without="
        + question.otherAnswers()
        + " entries_asked="
        + question.observations.size();
  }

  private static boolean isDecided(
      Suspicion part, double coverage, Question question, Instant now) {
    if (question.sufficientAt == null) {
      question.sufficientAt = now;
    }
    boolean isAnswered = !now.isBefore(question.askedFirstAt.plus(ANSWER_TIME));
    boolean isWaitOver = !now.isBefore(question.sufficientAt.plus(MAX_WAIT));
    int requests = part.contents().size();
    double expected = MIN_EXPECTED_ANSWERS / (requests * requests);
    double share = part.shareOfLost() * (requests < MANY_REQUESTS ? coverage : 1);
    double needed = Math.max(MIN_OTHER_ANSWERS, expected / share);
    return isAnswered
        && question.otherAnswers() >= needed
        && (isWaitOver || !question.isAnswering());
  }

  /** Returns the question to all entries about the suspected parts, or null if there is none. */
  @Nullable PartsSuspected ask(CrashEvidence evidence, Instant now) {
    List<Suspicion> asked =
        evidence.partsWithEnds(MIN_ENDS_TO_ASK).stream()
            .filter(part -> now.isBefore(part.lastAt().plus(CrashEvidence.DECISION_PERIOD)))
            .limit(MAX_ASKED)
            .toList();
    Set<RequestKey> keys = new HashSet<>();
    asked.forEach(part -> keys.add(part.key()));
    questions.keySet().retainAll(keys);
    if (asked.isEmpty()) {
      return null;
    }
    keys.forEach(key -> questions.computeIfAbsent(key, unknown -> new Question(now)));
    askedAt = now;
    return new PartsSuspected(asked.stream().map(part -> question(part, now)).toList());
  }

  private static SuspectedPart question(Suspicion part, Instant now) {
    UpstreamEnd newest = part.newest();
    String service = newest == null ? "" : newest.service();
    long sinceMillis = Math.max(0, Duration.between(part.firstAt(), now).toMillis());
    return new SuspectedPart(part.key(), service, (int) Math.min(Integer.MAX_VALUE, sinceMillis));
  }
}
