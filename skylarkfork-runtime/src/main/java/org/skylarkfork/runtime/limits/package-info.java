/** Limits on what the clients of a daemon make it hold: requests, answers and connections. */
@NullMarked
package org.skylarkfork.runtime.limits;

import org.jspecify.annotations.NullMarked;
