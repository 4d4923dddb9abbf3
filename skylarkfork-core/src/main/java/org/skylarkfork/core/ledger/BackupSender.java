package org.skylarkfork.core.ledger;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.message.LedgerMessage.BackupAcknowledged;
import org.skylarkfork.core.message.LedgerMessage.BackupBills;

/**
 * Replicates an entry's uncommitted bills for one ledger group to its backups.
 *
 * <p>Each backup has at most one message with bills in flight; further bills are queued until the
 * backup acknowledges it. After a lost connection all unsettled bills are sent again, since the
 * backup may have restarted and lost its state.
 */
final class BackupSender {

  private static final long NOTHING_REPORTED = -1;
  private static final Duration RESEND_INTERVAL = Duration.ofMillis(100);

  private final GroupId group;
  private final long incarnation;
  private final int maxBills;
  private final EntryBills bills;
  private final Map<String, Link> links = new HashMap<>();
  private long lastRound;

  BackupSender(GroupId group, long incarnation, int maxBills, EntryBills bills) {
    this.group = group;
    this.incarnation = incarnation;
    this.maxBills = maxBills;
    this.bills = bills;
  }

  /** Replaces the set of backups; a new backup receives all unsettled bills. */
  void setBackups(List<String> backups) {
    links.keySet().retainAll(backups);
    for (String backup : backups) {
      links.computeIfAbsent(backup, unused -> newLink());
    }
  }

  private Link newLink() {
    lastRound++;
    return new Link(lastRound);
  }

  /** Restarts the replication to a backup whose connection was lost. */
  void onConnectionLost(String node) {
    links.computeIfPresent(node, (unused, link) -> newLink());
  }

  /** Sends each backup the bills that it has not acknowledged, up to one batch each. */
  void drain(Instant now, Output output) {
    links.forEach(
        (node, link) -> {
          if (link.sentUpTo > link.acknowledgedUpTo
              && now.isBefore(link.sentAt.plus(RESEND_INTERVAL))) {
            return;
          }
          List<NumberedBill> next = bills.after(link.acknowledgedUpTo, maxBills);
          if (!next.isEmpty()) {
            link.sentUpTo = next.get(next.size() - 1).number();
            send(node, link, next, now, output);
          }
        });
  }

  /** Reports up to which number all bills are settled, unless new bills carried it already. */
  void onTick(Instant now, Output output) {
    links.forEach(
        (node, link) -> {
          if (link.reportedSettledUpTo < bills.settledUpTo()) {
            send(node, link, List.of(), now, output);
          }
        });
  }

  private void send(String node, Link link, List<NumberedBill> next, Instant now, Output output) {
    if (!next.isEmpty()) {
      link.sentAt = now;
    }
    link.reportedSettledUpTo = bills.settledUpTo();
    output.effect(
        new PeerEffect.SendToPeer(
            node, new BackupBills(group, incarnation, link.round, link.reportedSettledUpTo, next)));
  }

  /**
   * Handles an acknowledgement.
   *
   * @return the number up to which the backup stores all bills, or 0 if the acknowledgement is
   *     outdated or comes from a node that is no backup
   */
  long onAcknowledged(String node, BackupAcknowledged acknowledged) {
    Link link = links.get(node);
    if (link == null
        || link.round != acknowledged.round()
        || acknowledged.incarnation() != incarnation) {
      return 0;
    }
    link.acknowledgedUpTo = Math.max(link.acknowledgedUpTo, acknowledged.upTo());
    return link.acknowledgedUpTo;
  }

  /** Returns whether there is a backup. */
  boolean hasBackup() {
    return !links.isEmpty();
  }

  private static final class Link {
    private final long round;
    private long acknowledgedUpTo;
    private long sentUpTo;
    // Reporting a new run before its first bill makes the backup submit the bills of the last run.
    private long reportedSettledUpTo = NOTHING_REPORTED;
    private Instant sentAt = Instant.EPOCH;

    private Link(long round) {
      this.round = round;
    }
  }
}
