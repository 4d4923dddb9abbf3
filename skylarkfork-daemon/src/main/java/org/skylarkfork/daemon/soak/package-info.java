/** Real processes of the relay under faults from outside, and checks of its promises meanwhile. */
@NullMarked
package org.skylarkfork.daemon.soak;

import org.jspecify.annotations.NullMarked;
