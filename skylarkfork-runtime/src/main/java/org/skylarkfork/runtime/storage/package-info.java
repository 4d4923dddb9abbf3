/** Stores the logs and snapshots of the replicated groups in the data folder. */
@NullMarked
package org.skylarkfork.runtime.storage;

import org.jspecify.annotations.NullMarked;
