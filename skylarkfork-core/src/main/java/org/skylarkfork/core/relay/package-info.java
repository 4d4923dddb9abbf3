/**
 * The relay: forwards opaque requests to upstreams by host and path, with the state and the
 * coordination that this requires.
 *
 * <p>Bodies never reach this package. Its decisions depend on request heads, event ids and times.
 */
@NullMarked
package org.skylarkfork.core.relay;

import org.jspecify.annotations.NullMarked;
