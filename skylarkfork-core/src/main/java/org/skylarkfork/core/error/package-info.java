/** Typed errors for callers and operators, whose messages state the remedy. */
@NullMarked
package org.skylarkfork.core.error;

import org.jspecify.annotations.NullMarked;
