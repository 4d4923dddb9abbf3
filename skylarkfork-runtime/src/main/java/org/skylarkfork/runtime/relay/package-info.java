/** Executes the relay's effects: connections to callers and upstreams, bodies, control calls. */
@NullMarked
package org.skylarkfork.runtime.relay;

import org.jspecify.annotations.NullMarked;
