/** A weight store with a rate limit. */
@NullMarked
package org.skylarkfork.standin.weights;

import org.jspecify.annotations.NullMarked;
