/** Tests of what is known of engines. */
@NullMarked
package org.skylarkfork.core.placement;

import org.jspecify.annotations.NullMarked;
