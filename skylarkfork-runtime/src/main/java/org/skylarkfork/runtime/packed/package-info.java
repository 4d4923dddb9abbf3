/** A codec with written-out code for each record, for daemons that must start fast. */
@NullMarked
package org.skylarkfork.runtime.packed;

import org.jspecify.annotations.NullMarked;
