package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.PartReview.IdentifiedPart;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.CrashMessage.LostRequest;
import org.skylarkfork.core.message.CrashMessage.ObservedPart;
import org.skylarkfork.core.message.CrashMessage.PartsObserved;
import org.skylarkfork.core.message.CrashMessage.PartsSuspected;
import org.skylarkfork.core.message.CrashMessage.UpstreamEnded;

/**
 * Quarantines crashing requests, and parts of prompts that crash upstreams, on the leader: all
 * entries refuse requests with them until the quarantine is lifted after a fixed time.
 *
 * <p>Attempts and retries are bounded only for each request and entry, and these bounds start over
 * when a caller resends its request to any entry. Without coordination between entries, such a
 * caller would crash every upstream. Decisions go through the replicated log, so that they survive
 * the loss of the leader and of every entry that knew them.
 */
public final class CrashReview {

  /**
   * Time after which the quarantine of a request is lifted, since its upstreams may have been
   * fixed. If they were not, one more crash suffices to quarantine the request again.
   */
  private static final Duration QUARANTINE_TIME = Duration.ofMinutes(10);

  /** Time after which a command that was not committed is submitted again. */
  private static final Duration RESUBMIT_INTERVAL = Duration.ofSeconds(1);

  private final QuarantineList list;
  private final PartObservers observers;
  private final PartReview parts = new PartReview();
  private final CrashCorrelator correlator = new CrashCorrelator();
  private final Set<RequestKey> crashing = new LinkedHashSet<>();
  private final Set<RequestKey> identified = new LinkedHashSet<>();
  private final Map<RequestKey, Instant> quarantinedSince = new HashMap<>();
  private final Map<RequestKey, Instant> submittedAt = new HashMap<>();

  /**
   * Creates a review without any reports.
   *
   * @param list the quarantined requests and parts
   * @param observers the entries, which are asked about suspected parts
   */
  public CrashReview(QuarantineList list, PartObservers observers) {
    this.list = list;
    this.observers = observers;
  }

  /** Processes an entry's report of an upstream that ended. */
  public void onUpstreamEnded(UpstreamEnded ended, Instant now) {
    for (LostRequest lost : ended.lost()) {
      correlator.recordLoss(
          ended.upstream(),
          ended.service(),
          lost.key(),
          lost.parts(),
          now.minusMillis(lost.sentMillis()),
          now.minusMillis(lost.lostMillis()),
          now);
    }
    list.keys().forEach(correlator::markExplained);
  }

  /** Processes an entry's report that a request was answered completely. */
  public void onRequestServed(RequestKey key, Instant now) {
    correlator.recordServed(key, now);
    crashing.remove(key);
  }

  /**
   * Processes an entry's report of what it observed of suspected parts. A part that this reviewer
   * has identified is lifted if a request that was sent before is answered nevertheless.
   */
  public void onPartsObserved(String entry, PartsObserved observed, Instant now, Output output) {
    for (ObservedPart part : parts.recordObservations(entry, observed)) {
      Instant answeredAt = now.minusMillis(part.servedMillis());
      correlator.recordPartServed(part.key(), answeredAt, now);
      crashing.remove(part.key());
      Instant since = quarantinedSince.get(part.key());
      boolean answeredSince = since != null && answeredAt.isAfter(since);
      if (answeredSince && identified.remove(part.key())) {
        list.lift(part.key(), now, output);
      }
    }
  }

  /** Processes the committed quarantine of a request or part. */
  public void onQuarantined(RequestKey key) {
    correlator.markExplained(key);
    crashing.remove(key);
  }

  /** Processes the committed lifting of a quarantine. */
  public void onLifted(RequestKey key, Instant now) {
    correlator.putOnProbation(key, now);
  }

  /** Discards all reports of entries; called at each change of leader. */
  public void clear() {
    correlator.clear();
    parts.clear();
    crashing.clear();
    identified.clear();
    quarantinedSince.clear();
    submittedAt.clear();
  }

  /** Quarantines crashing requests and lifts the quarantines that have expired. */
  public void tick(Instant now, Output output) {
    submittedAt.values().removeIf(submitted -> !now.isBefore(submitted.plus(RESUBMIT_INTERVAL)));
    review(now, output);
    for (RequestKey key : crashing) {
      if (maySubmit(key, now)) {
        list.refuse(key, now, output);
      }
    }
    liftExpired(now, output);
  }

  private void review(Instant now, Output output) {
    CrashEvidence evidence =
        parts.isDue(now) ? correlator.evaluateNow(now) : correlator.evaluate(now);
    if (evidence == null) {
      return;
    }
    crashing.addAll(evidence.crashingContents(now));
    for (IdentifiedPart part : parts.findCrashing(evidence, now)) {
      if (crashing.add(part.key())) {
        identified.add(part.key());
        output.effect(new TraceEffect.LogLine(true, "crash", part.reason()));
      }
    }
    PartsSuspected question = parts.ask(evidence, now);
    if (question != null) {
      observers.ask(question, output);
    }
  }

  private void liftExpired(Instant now, Output output) {
    List<RequestKey> quarantined = list.keys();
    quarantinedSince.keySet().retainAll(quarantined);
    identified.removeIf(key -> !quarantined.contains(key) && !crashing.contains(key));
    for (RequestKey key : quarantined) {
      Instant since = quarantinedSince.computeIfAbsent(key, unknown -> now);
      if (!now.isBefore(since.plus(QUARANTINE_TIME)) && maySubmit(key, now)) {
        list.lift(key, now, output);
      }
    }
  }

  private boolean maySubmit(RequestKey key, Instant now) {
    return submittedAt.putIfAbsent(key, now) == null;
  }
}
