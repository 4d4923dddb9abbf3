/** Which daemons and upstreams are there. */
@NullMarked
package org.skylarkfork.core.membership;

import org.jspecify.annotations.NullMarked;
