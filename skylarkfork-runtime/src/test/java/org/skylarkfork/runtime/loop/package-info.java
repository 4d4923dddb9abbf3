/** Tests of the reducer's thread. */
@NullMarked
package org.skylarkfork.runtime.loop;

import org.jspecify.annotations.NullMarked;
