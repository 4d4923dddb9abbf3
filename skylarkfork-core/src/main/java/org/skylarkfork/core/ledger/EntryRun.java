package org.skylarkfork.core.ledger;

/**
 * One run of an entry's process.
 *
 * @param entry node name of the entry
 * @param incarnation number of the process, never used twice by the entry
 */
record EntryRun(String entry, long incarnation) {}
