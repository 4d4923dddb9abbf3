/** Orders to upstreams under a lease, and roll-outs step by step. */
@NullMarked
package org.skylarkfork.core.order;

import org.jspecify.annotations.NullMarked;
