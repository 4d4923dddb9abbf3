/** Storage and lookup of the model versions to which sessions are pinned. */
@NullMarked
package org.skylarkfork.core.session;

import org.jspecify.annotations.NullMarked;
