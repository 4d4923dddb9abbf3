/** A service that rates answers by a hidden quality of each version. */
@NullMarked
package org.skylarkfork.standin.rating;

import org.jspecify.annotations.NullMarked;
