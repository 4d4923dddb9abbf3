/** Tests of the package. */
@NullMarked
package org.skylarkfork.core.rollout;

import org.jspecify.annotations.NullMarked;
