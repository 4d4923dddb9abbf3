package org.skylarkfork.core.configuration;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.ConfigurationMessage.CopyChunk;
import org.skylarkfork.core.message.ConfigurationMessage.CopyRequest;
import org.skylarkfork.core.message.ConfigurationMessage.LaggingEntry;
import org.skylarkfork.core.message.ConfigurationMessage.LeaseGrant;
import org.skylarkfork.core.message.ConfigurationMessage.Push;
import org.skylarkfork.core.message.ConfigurationMessage.Renew;

/** Takes configuration and leases from another daemon, and finds another one when it fails. */
final class Subscription {

  private static final Duration MIN_SEND_INTERVAL = Duration.ofMillis(100);
  private static final Duration MIN_SEND_INTERVAL_AFTER_SWITCH = Duration.ofMillis(200);
  private static final Duration NEXT_ROUND_DELAY = Duration.ofMillis(500);
  private static final Duration PREFERRED_RETRY_INTERVAL = Duration.ofSeconds(30);
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);
  private static final int MAX_LAGGING = 8;
  private static final int MAX_CHUNKS = 10_000;

  private final ConfigurationSettings settings;
  private final AppliedConfiguration applied;
  private final EntryLease lease;
  private final Subscribers subscribers;
  private final RevisionApplier revisionApplier;
  private final ConfigurationSources sources;
  private final Instant startedAt;

  private List<String> candidates = List.of();
  private Instant refreshAt = Instant.EPOCH;
  private @Nullable String source;
  private int sourceIndex;
  private Instant sourceSince = Instant.EPOCH;
  private Instant extendedAt = Instant.EPOCH;
  private Instant sentAt = Instant.EPOCH;
  private Instant nextSendAt = Instant.EPOCH;
  private long reportedFloor;
  private boolean stepRejected;
  private boolean repairPending;
  private @Nullable CopyChunk lastChunk;
  private Instant lastChunkAt = Instant.EPOCH;
  private final List<ConfigurationDifference> copiedDifferences = new ArrayList<>();

  Subscription(
      ConfigurationSettings settings,
      AppliedConfiguration applied,
      EntryLease lease,
      Subscribers subscribers,
      RevisionApplier revisionApplier,
      ConfigurationSources sources,
      Instant startedAt) {
    this.settings = settings;
    this.applied = applied;
    this.lease = lease;
    this.subscribers = subscribers;
    this.revisionApplier = revisionApplier;
    this.sources = sources;
    this.startedAt = startedAt;
  }

  /** Looks for other sources at the next tick, as after a change of leader. */
  void refresh() {
    refreshAt = Instant.EPOCH;
  }

  void tick(Instant now, Output output) {
    if (!now.isBefore(refreshAt)) {
      refreshCandidates(now);
    }
    if (candidates.isEmpty()) {
      return;
    }
    Instant lastExtension = extendedAt.isAfter(sourceSince) ? extendedAt : sourceSince;
    if (!now.isBefore(lastExtension.plus(settings.sourceTimeout()))) {
      switchSource(now, output);
    } else if (sourceIndex > 0 && !now.isBefore(sourceSince.plus(PREFERRED_RETRY_INTERVAL))) {
      select(0, now);
    }
    if (repairPending && !now.isBefore(sentAt.plus(MIN_SEND_INTERVAL))) {
      repair(now, output);
    }
    boolean mayAcknowledge =
        !now.isBefore(sentAt.plus(MIN_SEND_INTERVAL)) && floor(now) > reportedFloor;
    if (!now.isBefore(nextSendAt) || mayAcknowledge) {
      renew(false, now, output);
    }
  }

  private void refreshCandidates(Instant now) {
    refreshAt = now.plus(REFRESH_INTERVAL);
    candidates = sources.candidates();
    int index = source == null ? -1 : candidates.indexOf(source);
    boolean preferredChanged = sourceIndex == 0 && index > 0;
    if (candidates.isEmpty()) {
      source = null;
    } else if (index < 0 || preferredChanged) {
      select(0, now);
    } else {
      sourceIndex = index;
    }
  }

  private void select(int index, Instant now) {
    sourceIndex = index;
    source = candidates.get(index);
    sourceSince = now;
    reportedFloor = 0;
    lastChunk = null;
    Instant earliest = sentAt.plus(MIN_SEND_INTERVAL_AFTER_SWITCH);
    nextSendAt = earliest.isAfter(now) ? earliest : now;
  }

  private void switchSource(Instant now, Output output) {
    output.effect(new TraceEffect.Count("configuration_source_changes", "", 1));
    boolean lastCandidate = sourceIndex + 1 >= candidates.size();
    select(lastCandidate ? 0 : sourceIndex + 1, now);
    if (lastCandidate) {
      nextSendAt = now.plus(NEXT_ROUND_DELAY);
    }
  }

  /** Leaves the present source if it is the one that is gone or doesn't serve. */
  void sourceLost(String node, Instant now, Output output) {
    if (node.equals(source) && !candidates.isEmpty()) {
      switchSource(now, output);
    }
  }

  private void renew(boolean repair, Instant now, Output output) {
    String to = source;
    if (to == null) {
      return;
    }
    sentAt = now;
    repairPending = false;
    nextSendAt = now.plus(settings.renewalInterval());
    long revision = applied.revision();
    long floor = floor(now);
    reportedFloor = floor;
    List<LaggingEntry> lagging = floor < revision ? subscribers.lagging(revision, now) : List.of();
    boolean needsFirstCopy = revision == 0 && lastChunk == null;
    output.effect(
        new PeerEffect.SendToPeer(
            to,
            new Renew(
                stepRejected ? 0 : revision,
                now,
                floor,
                lagging.subList(0, Math.min(MAX_LAGGING, lagging.size())),
                lagging.size(),
                repair || stepRejected || needsFirstCopy)));
  }

  /**
   * Returns the revision that this daemon and all that have leases from it have reached.
   *
   * <p>An earlier process of this daemon may have granted leases that this one knows nothing of. If
   * it reported its own revision at once, a change would be called in force while they serve under
   * an older one; so it reports nothing until the longest of them must have ended.
   */
  private long floor(Instant now) {
    if (now.isBefore(startedAt.plus(settings.maxLeaseDuration()))) {
      return 0;
    }
    return subscribers.floor(now);
  }

  void leaseGranted(LeaseGrant grant, Instant now, Output output) {
    boolean ownRequest =
        !grant.requestSentAt().isAfter(now) && !grant.requestSentAt().isBefore(startedAt);
    if (ownRequest && lease.grant(grant, applied.revision())) {
      extendedAt = now;
      subscribers.grantAll(now, output);
    }
  }

  void stepsPushed(Push push, Instant now, Output output) {
    for (ConfigurationStep step : push.steps()) {
      if (step.to() <= applied.revision()) {
        output.effect(new TraceEffect.Count("configuration_stale_pushes", "", 1));
      } else if (step.from() != applied.revision()) {
        repair(now, output);
        return;
      } else if (!applyStep(step, now, output)) {
        return;
      }
    }
  }

  private boolean applyStep(ConfigurationStep step, Instant now, Output output) {
    try {
      revisionApplier.apply(step, now, output);
      return true;
    } catch (IllegalArgumentException e) {
      output.effect(new TraceEffect.LogLine(true, "configuration", e.getMessage()));
      stepRejected = true;
      repair(now, output);
      return false;
    }
  }

  /** Asks for what is missing, at once or as soon as the last message is long enough ago. */
  private void repair(Instant now, Output output) {
    boolean copyInProgress =
        lastChunk != null && now.isBefore(lastChunkAt.plus(settings.renewalInterval()));
    if (copyInProgress) {
      return;
    }
    if (now.isBefore(sentAt.plus(MIN_SEND_INTERVAL))) {
      repairPending = true;
      return;
    }
    output.effect(new TraceEffect.Count("configuration_repairs", "", 1));
    renew(true, now, output);
  }

  void chunkReceived(String from, CopyChunk chunk, Instant now, Output output) {
    if (chunk.revision() <= applied.revision() || chunk.count() > MAX_CHUNKS) {
      output.effect(new TraceEffect.Count("configuration_stale_pushes", "", 1));
      return;
    }
    CopyChunk previous = lastChunk;
    if (chunk.index() == 0) {
      copiedDifferences.clear();
    } else if (previous == null
        || previous.revision() != chunk.revision()
        || previous.index() + 1 != chunk.index()) {
      return;
    }
    copiedDifferences.addAll(chunk.differences());
    lastChunk = chunk;
    lastChunkAt = now;
    if (chunk.index() + 1 < chunk.count()) {
      CopyRequest next = new CopyRequest(chunk.revision(), chunk.index() + 1);
      output.effect(new PeerEffect.SendToPeer(from, next));
    } else {
      finishCopy(chunk.revision(), now, output);
    }
  }

  private void finishCopy(long revision, Instant now, Output output) {
    lastChunk = null;
    try {
      Configuration complete = Differences.apply(Configuration.EMPTY, copiedDifferences, revision);
      stepRejected = false;
      revisionApplier.apply(complete, now, output);
      renew(true, now, output);
    } catch (IllegalArgumentException e) {
      output.effect(new TraceEffect.LogLine(true, "configuration", e.getMessage()));
    } finally {
      copiedDifferences.clear();
    }
  }
}
