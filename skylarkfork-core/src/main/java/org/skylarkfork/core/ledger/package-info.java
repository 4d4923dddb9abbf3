/**
 * Replicated claims, by which a request runs at most once, and bills, which count it exactly once.
 */
@NullMarked
package org.skylarkfork.core.ledger;

import org.jspecify.annotations.NullMarked;
