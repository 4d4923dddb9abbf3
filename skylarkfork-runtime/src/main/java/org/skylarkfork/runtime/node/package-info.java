/** Puts a daemon together from the parts of the core and the runtime. */
@NullMarked
package org.skylarkfork.runtime.node;

import org.jspecify.annotations.NullMarked;
