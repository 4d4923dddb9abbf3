/** Tests of the relay's connections. */
@NullMarked
package org.skylarkfork.runtime.relay;

import org.jspecify.annotations.NullMarked;
