package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.LinkedHashMap;
import java.util.Map;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.LedgerCommand.Claim;
import org.skylarkfork.core.command.LedgerCommand.RecordOutcome;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.event.ConsensusEvent.SubmissionAnswered;
import org.skylarkfork.core.event.ConsensusEvent.SubmissionFailed;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent.Tick;
import org.skylarkfork.core.event.PeerEvent.ConnectionLost;
import org.skylarkfork.core.event.PeerEvent.MessageReceived;
import org.skylarkfork.core.message.LedgerMessage.BackupAcknowledged;
import org.skylarkfork.core.message.LedgerMessage.BackupBills;
import org.skylarkfork.core.request.CallerRequest;

/**
 * An entry's side of the ledger: has claims, outcomes and bills agreed on, and keeps other entries'
 * bills.
 *
 * <p>It stands behind the parts that call {@link Ledger} in the reducer's order, since calls go out
 * when it sees the same event.
 */
public final class LedgerPart implements Part, Ledger {

  private static final Duration SHORTEST_HOLD = Duration.ofSeconds(1);

  private final LedgerSettings settings;
  private final String node;
  private final LedgerShards shards;
  private final LivePeers peers;
  private final EntryClaims claims;
  private final BackupBillStore held;
  private final Map<GroupId, Shard> byGroup = new LinkedHashMap<>();

  /**
   * Makes the part.
   *
   * @param settings how it uses the ledger
   * @param node node name of this entry
   * @param incarnation number of this process, higher than that of any earlier one of the entry
   * @param shards the ledger groups
   * @param submitter has commands agreed on
   * @param peers what is known of the other entries
   */
  public LedgerPart(
      LedgerSettings settings,
      String node,
      long incarnation,
      LedgerShards shards,
      Submitter submitter,
      LivePeers peers) {
    this.settings = settings;
    this.node = node;
    this.shards = shards;
    this.peers = peers;
    claims = new EntryClaims(settings, shards, submitter);
    held = new BackupBillStore(settings, submitter);
    for (GroupId group : shards.all()) {
      EntryBills bills = new EntryBills(settings, node, incarnation, group, submitter);
      BackupSender backups = new BackupSender(group, incarnation, settings.maxBatchBills(), bills);
      byGroup.put(group, new Shard(bills, backups));
    }
  }

  @Override
  public void claim(CallerRequest request, String team, String key, Instant now) {
    Duration left = Duration.between(now, request.deadline()).plus(settings.holdGrace());
    Duration hold = left.compareTo(SHORTEST_HOLD) < 0 ? SHORTEST_HOLD : left;
    claims.claim(
        new Claim(team, key, request.requestId(), RequestHash.of(request), node, hold.toMillis()),
        request.deadline());
  }

  @Override
  public void recordOutcome(
      String requestId, String team, String key, ClaimOutcome outcome, Instant now) {
    ClaimOutcome bounded =
        outcome instanceof ClaimOutcome.Answered answered
                && answered.body().value().length > LedgerBounds.DEFAULT.maxBodyBytes()
            ? ClaimTable.withoutBody(answered)
            : outcome;
    claims.recordOutcome(new RecordOutcome(team, key, requestId, bounded), now);
  }

  @Override
  public void bill(Bill bill, Instant now) {
    Shard shard = byGroup.get(shards.shardOf(bill.team(), bill.key()));
    shard.bills.add(bill, shard.backups.hasBackup(), now);
  }

  @Override
  public boolean acceptsWork() {
    return unsettledBills() < settings.maxBufferedBills();
  }

  @Override
  public boolean isSettled() {
    return unsettledBills() == 0 && claims.isSettled();
  }

  /** Returns how many bills of other entries are kept here. */
  public int backupBillCount() {
    return held.size();
  }

  private int unsettledBills() {
    return byGroup.values().stream().mapToInt(shard -> shard.bills.size()).sum();
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof Tick) {
      onTick(now, output);
    } else if (event instanceof SubmissionAnswered answered) {
      onAnswered(answered, now, output);
    } else if (event instanceof SubmissionFailed failed) {
      onFailed(failed, now, output);
    } else if (event instanceof MessageReceived received) {
      onMessage(received, now, output);
    } else if (event instanceof ConnectionLost lost) {
      byGroup.values().forEach(shard -> shard.backups.onConnectionLost(lost.node()));
    }
    drain(now, output);
  }

  private void onTick(Instant now, Output output) {
    claims.onTick();
    var backups = peers.backups(now);
    for (Shard shard : byGroup.values()) {
      shard.bills.onTick(now, output);
      shard.backups.useBackups(backups);
      shard.backups.onTick(now, output);
    }
    held.onTick(peers, now, output);
  }

  private void onAnswered(SubmissionAnswered answered, Instant now, Output output) {
    long id = answered.submissionId();
    if (claims.onAnswered(id, answered.result(), output)
        || held.onAnswered(id, answered.result())) {
      return;
    }
    Shard shard = byGroup.get(answered.group());
    if (shard != null) {
      shard.bills.onAnswered(id, answered.result(), now, output);
    }
  }

  private void onFailed(SubmissionFailed failed, Instant now, Output output) {
    long id = failed.submissionId();
    if (claims.onFailed(id, failed.mayHaveApplied(), now, output) || held.onFailed(id)) {
      return;
    }
    Shard shard = byGroup.get(failed.group());
    if (shard != null) {
      shard.bills.onFailed(id);
    }
  }

  private void onMessage(MessageReceived received, Instant now, Output output) {
    if (received.message() instanceof BackupBills backup) {
      held.onBackup(received.node(), backup, now, output);
    } else if (received.message() instanceof BackupAcknowledged acknowledged) {
      Shard shard = byGroup.get(acknowledged.group());
      if (shard != null) {
        long upTo = shard.backups.onAcknowledged(received.node(), acknowledged);
        shard.bills.onBackedUp(upTo, output);
      }
    }
  }

  private void drain(Instant now, Output output) {
    claims.drain(now, output);
    for (Shard shard : byGroup.values()) {
      shard.backups.drain(now, output);
      shard.bills.drain(shard.backups.hasBackup(), now, output);
    }
  }

  private record Shard(EntryBills bills, BackupSender backups) {}
}
