package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.RelayMessage.LostRequest;
import org.skylarkfork.core.message.RelayMessage.UpstreamEnded;

/**
 * The leader's work on requests that end their upstreams: has them refused by all entries, and let
 * through again after a time.
 *
 * <p>Attempts and repeats are bounded for each request and entry, and a caller that sends its
 * request again begins anew at any of them: without a word between entries it ends every upstream
 * there is. What is found goes through the replicated log, so that it outlives the leader and every
 * entry that knew it.
 */
final class CrashReview {

  /**
   * Time after which a request is let through again, since its upstreams may have been mended. If
   * they weren't, one end is enough to have it refused again.
   */
  private static final Duration QUARANTINE = Duration.ofMinutes(10);

  /** Time after which a command that was not agreed on is tried again. */
  private static final Duration AGAIN = Duration.ofSeconds(1);

  private final RelayMachine machine;
  private final ConsensusPart consensus;
  private final CrashLedger ledger = new CrashLedger();
  private final Set<RequestKey> found = new LinkedHashSet<>();
  private final Map<RequestKey, Instant> refusedSince = new HashMap<>();
  private final Map<RequestKey, Instant> askedAt = new HashMap<>();

  CrashReview(RelayMachine machine, ConsensusPart consensus) {
    this.machine = machine;
    this.consensus = consensus;
  }

  /** Takes an entry's word on an upstream that ended. */
  void ended(UpstreamEnded ended, Instant now) {
    for (LostRequest lost : ended.lost()) {
      ledger.lost(
          ended.upstream(),
          lost.key(),
          now.minusMillis(lost.sentMillis()),
          now.minusMillis(lost.lostMillis()),
          now);
    }
    machine.quarantined().forEach(request -> ledger.quarantined(request.key()));
  }

  /** Takes an entry's word that a request was answered whole. */
  void served(RequestKey key, Instant now) {
    ledger.served(key, now);
    found.remove(key);
  }

  /** Takes note of a command that was agreed on. */
  void committed(RelayCommand command) {
    if (command instanceof RelayCommand.QuarantineRequest request) {
      ledger.quarantined(request.key());
      found.remove(request.key());
    } else if (command instanceof RelayCommand.LiftQuarantine lift) {
      ledger.lifted(lift.key());
    }
  }

  /** Forgets what entries told: another control VM leads, or this one begins to. */
  void clear() {
    ledger.clear();
    found.clear();
    refusedSince.clear();
    askedAt.clear();
  }

  /** Has requests refused that were found, and let through whose time is over. */
  void tick(Instant now, Output output) {
    askedAt.values().removeIf(at -> !now.isBefore(at.plus(AGAIN)));
    found.addAll(ledger.found(now));
    for (RequestKey key : found) {
      ask(key, new RelayCommand.QuarantineRequest(key), now, output);
    }
    lift(now, output);
  }

  private void lift(Instant now, Output output) {
    if (refusedSince.isEmpty() && machine.quarantined().isEmpty()) {
      return;
    }
    Map<RequestKey, Instant> before = Map.copyOf(refusedSince);
    refusedSince.clear();
    for (QuarantinedRequest request : machine.quarantined()) {
      Instant since = before.getOrDefault(request.key(), now);
      refusedSince.put(request.key(), since);
      if (!now.isBefore(since.plus(QUARANTINE))) {
        ask(request.key(), new RelayCommand.LiftQuarantine(request.key()), now, output);
      }
    }
  }

  private void ask(RequestKey key, Command command, Instant now, Output output) {
    if (askedAt.putIfAbsent(key, now) != null) {
      return;
    }
    output.effect(new TraceEffect.LogLine(true, "relay", "event=crash_review asks=" + command));
    consensus
        .submitter()
        .submit(
            GroupId.RELAY,
            command,
            consensus.submitter().newSubmissionId(),
            now.plus(AGAIN),
            now,
            output);
  }
}
