package org.skylarkfork.core.ledger;

/**
 * A bill with the sequence number that its entry assigned.
 *
 * @param number sequence number, from 1 without gaps within one run of the entry and one ledger
 *     group
 * @param bill the bill
 */
public record NumberedBill(long number, Bill bill) {}
