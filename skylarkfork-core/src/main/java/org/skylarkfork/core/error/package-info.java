/** Typed errors whose messages name the remedy. */
@NullMarked
package org.skylarkfork.core.error;

import org.jspecify.annotations.NullMarked;
