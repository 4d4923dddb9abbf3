/** Tests of the loops that apply events. */
@NullMarked
package org.skylarkfork.runtime.loop;

import org.jspecify.annotations.NullMarked;
