package org.skylarkfork.core.ledger;

/**
 * Identifies one run of an entry's process.
 *
 * @param entry node name of the entry
 * @param incarnation incarnation number of the process, unique among the runs of the entry
 */
record EntryRun(String entry, long incarnation) {}
