/** Tests of the codec with written-out code. */
@NullMarked
package org.skylarkfork.runtime.packed;

import org.jspecify.annotations.NullMarked;
