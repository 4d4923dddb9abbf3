/** Messages between daemons, sent at most once and without delivery guarantees. */
@NullMarked
package org.skylarkfork.core.message;

import org.jspecify.annotations.NullMarked;
