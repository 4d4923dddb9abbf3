package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.message.CrashMessage.ObservedPart;
import org.skylarkfork.core.message.CrashMessage.PartsObserved;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.message.CrashMessage.SuspectedPart;

/**
 * The last complete answers of an entry, from which it answers the crash reviewer's questions.
 *
 * <p>Only teams and hashes are retained: the prompts of so many requests would take megabytes.
 */
final class AnsweredRequests {

  /** Number of retained answers. */
  private static final int CAPACITY = 512;

  /**
   * Time for which an attempt must have been in progress to count as a sign of a harmless part: a
   * request that crashes its upstream also runs for a moment.
   */
  private static final Duration MIN_PROGRESS = Duration.ofMillis(500);

  private final @Nullable Answer[] answers = new @Nullable Answer[CAPACITY];
  private int next;

  private record Answer(String team, List<Long> parts, String service, Instant at) {

    private boolean has(RequestKey part) {
      return parts.stream().anyMatch(each -> part.isOfPart(team, each));
    }
  }

  /** Records a complete answer; the oldest one is forgotten. */
  void record(RequestKeys keys, String service, Instant now) {
    answers[next] = new Answer(keys.content().team(), keys.parts(), service, now);
    next = (next + 1) % CAPACITY;
  }

  /**
   * Answers a question.
   *
   * @param question the suspected parts
   * @param inProgress requests that upstreams process
   * @param now the present time
   */
  PartsObserved observe(PartsSuspected question, List<AttemptInProgress> inProgress, Instant now) {
    List<ObservedPart> observed = new ArrayList<>();
    for (SuspectedPart part : question.parts()) {
      observed.add(observe(part, inProgress, now));
    }
    return new PartsObserved(observed);
  }

  private ObservedPart observe(
      SuspectedPart part, List<AttemptInProgress> inProgress, Instant now) {
    Instant since = now.minusMillis(part.sinceMillis());
    Instant servedAt = null;
    int others = 0;
    for (Answer answer : answers) {
      if (answer == null) {
        continue;
      }
      boolean sameService = part.service().isEmpty() || part.service().equals(answer.service());
      if (answer.has(part.key())) {
        servedAt = servedAt == null || answer.at().isAfter(servedAt) ? answer.at() : servedAt;
      } else if (sameService && answer.at().isAfter(since)) {
        others++;
      }
    }
    int servedMillis = servedAt == null ? -1 : (int) Duration.between(servedAt, now).toMillis();
    return new ObservedPart(
        part.key(), servedMillis, isAnswering(part.key(), inProgress, now), others);
  }

  private static boolean isAnswering(
      RequestKey part, List<AttemptInProgress> inProgress, Instant now) {
    return inProgress.stream()
        .filter(answer -> !now.isBefore(answer.sentAt().plus(MIN_PROGRESS)))
        .anyMatch(answer -> answer.keys().findFirst(part::equals) != null);
  }
}
