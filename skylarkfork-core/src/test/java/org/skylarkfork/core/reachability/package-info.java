/** Tests of the paths to upstreams. */
@NullMarked
package org.skylarkfork.core.reachability;

import org.jspecify.annotations.NullMarked;
