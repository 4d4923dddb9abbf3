/** Messages between daemons, sent without delivery guarantees. */
@NullMarked
package org.skylarkfork.core.message;

import org.jspecify.annotations.NullMarked;
