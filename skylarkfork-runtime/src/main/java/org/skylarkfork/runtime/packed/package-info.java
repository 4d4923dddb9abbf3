/** A codec with hand-written code for each record, for daemons that must start fast. */
@NullMarked
package org.skylarkfork.runtime.packed;

import org.jspecify.annotations.NullMarked;
