/** Tests of the codec with hand-written code for each record. */
@NullMarked
package org.skylarkfork.runtime.packed;

import org.jspecify.annotations.NullMarked;
