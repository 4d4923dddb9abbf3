/** Membership of daemons by the SWIM protocol, and the directory of upstreams. */
@NullMarked
package org.skylarkfork.core.membership;

import org.jspecify.annotations.NullMarked;
