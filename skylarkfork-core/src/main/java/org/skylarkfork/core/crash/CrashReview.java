package org.skylarkfork.core.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.message.CrashMessage.LostRequest;
import org.skylarkfork.core.message.CrashMessage.UpstreamEnded;

/**
 * The leader's work on requests that end their upstreams: has them refused by all entries, and let
 * through again after a time.
 *
 * <p>Attempts and repeats are bounded for each request and entry, and a caller that sends its
 * request again begins anew at any of them: without a word between entries it ends every upstream
 * there is. What is found goes through the replicated log, so that it outlives the leader and every
 * entry that knew it.
 */
public final class CrashReview {

  /**
   * Time after which a request is let through again, since its upstreams may have been mended. If
   * they weren't, one end is enough to have it refused again.
   */
  private static final Duration QUARANTINE = Duration.ofMinutes(10);

  /** Time after which a command that was not agreed on is tried again. */
  private static final Duration AGAIN = Duration.ofSeconds(1);

  private final QuarantineList list;
  private final CrashCorrelator ledger = new CrashCorrelator();
  private final Set<RequestKey> found = new LinkedHashSet<>();
  private final Map<RequestKey, Instant> refusedSince = new HashMap<>();
  private final Map<RequestKey, Instant> askedAt = new HashMap<>();

  /**
   * Makes a review that was told nothing.
   *
   * @param list the requests that are refused
   */
  public CrashReview(QuarantineList list) {
    this.list = list;
  }

  /** Takes an entry's word on an upstream that ended. */
  public void onUpstreamEnded(UpstreamEnded ended, Instant now) {
    for (LostRequest lost : ended.lost()) {
      ledger.recordLoss(
          ended.upstream(),
          lost.key(),
          now.minusMillis(lost.sentMillis()),
          now.minusMillis(lost.lostMillis()),
          now);
    }
    list.keys().forEach(ledger::markExplained);
  }

  /** Takes an entry's word that a request was answered whole. */
  public void onRequestServed(RequestKey key, Instant now) {
    ledger.recordServed(key, now);
    found.remove(key);
  }

  /** Takes note that a request is refused from now on. */
  public void onQuarantined(RequestKey key) {
    ledger.markExplained(key);
    found.remove(key);
  }

  /** Takes note that a request is let through again. */
  public void onLifted(RequestKey key) {
    ledger.putOnProbation(key);
  }

  /** Forgets what entries told: another control VM leads, or this one begins to. */
  public void clear() {
    ledger.clear();
    found.clear();
    refusedSince.clear();
    askedAt.clear();
  }

  /** Has requests refused that were found, and let through whose time is over. */
  public void tick(Instant now, Output output) {
    askedAt.values().removeIf(at -> !now.isBefore(at.plus(AGAIN)));
    found.addAll(ledger.findCrashing(now));
    for (RequestKey key : found) {
      if (mayAsk(key, now)) {
        list.refuse(key, now, output);
      }
    }
    lift(now, output);
  }

  private void lift(Instant now, Output output) {
    List<RequestKey> refused = list.keys();
    refusedSince.keySet().retainAll(refused);
    for (RequestKey key : refused) {
      Instant since = refusedSince.computeIfAbsent(key, unknown -> now);
      if (!now.isBefore(since.plus(QUARANTINE)) && mayAsk(key, now)) {
        list.lift(key, now, output);
      }
    }
  }

  private boolean mayAsk(RequestKey key, Instant now) {
    return askedAt.putIfAbsent(key, now) == null;
  }
}
