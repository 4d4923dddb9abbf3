/** Carries the effects of the core out. */
@NullMarked
package org.skylarkfork.runtime;

import org.jspecify.annotations.NullMarked;
