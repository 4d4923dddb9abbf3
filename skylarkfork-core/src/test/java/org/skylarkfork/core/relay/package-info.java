/** Tests and simulations of the relay. */
@NullMarked
package org.skylarkfork.core.relay;

import org.jspecify.annotations.NullMarked;
