/** Tests of the estimates about engines. */
@NullMarked
package org.skylarkfork.core.placement;

import org.jspecify.annotations.NullMarked;
