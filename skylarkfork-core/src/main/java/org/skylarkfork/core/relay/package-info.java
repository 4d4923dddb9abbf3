/**
 * The relay: passes opaque requests on to upstreams by host and path, and what it needs for that.
 *
 * <p>Bodies never reach this package. It decides on heads, event numbers and moments.
 */
@NullMarked
package org.skylarkfork.core.relay;

import org.jspecify.annotations.NullMarked;
