/**
 * Whether an entry reaches the upstreams of each service over its own links, and by which other
 * entry it connects to them if it doesn't. The package knows neither requests nor sockets.
 */
@NullMarked
package org.skylarkfork.core.reachability;

import org.jspecify.annotations.NullMarked;
