/**
 * Lists of entries for callers, by the capacity of the entries. The package knows neither messages
 * nor the replicated state.
 */
@NullMarked
package org.skylarkfork.core.entrylist;

import org.jspecify.annotations.NullMarked;
