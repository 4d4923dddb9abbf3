package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.ledger.NumberedBill;

/** Messages by which entries replicate their bills to backups until the bills are committed. */
public sealed interface LedgerMessage extends PeerMessage {

  /**
   * Requests a backup to retain bills until they are settled, and reports which bills are settled.
   *
   * @param group ledger group that the bills are for
   * @param incarnation incarnation number of the sender's process
   * @param round number that rises whenever the sender restarts from its oldest unsettled bill
   * @param settledUpTo number of the last bill of the settled range: all bills up to it are
   *     committed and the backup may drop them
   * @param bills bills in ascending order of their numbers; empty if only {@code settledUpTo} is
   *     reported
   */
  record BackupBills(
      GroupId group, long incarnation, long round, long settledUpTo, List<NumberedBill> bills)
      implements LedgerMessage {

    /** Copies the bills. */
    public BackupBills {
      bills = List.copyOf(bills);
    }
  }

  /**
   * Acknowledges that the sender retains the bills of a {@link BackupBills} message.
   *
   * @param group ledger group that the bills are for
   * @param incarnation incarnation number of the requesting process
   * @param round round of the acknowledged message
   * @param upTo number of the last bill in the acknowledged message
   */
  record BackupAcknowledged(GroupId group, long incarnation, long round, long upTo)
      implements LedgerMessage {}
}
