/** Faults that a stand-in shows on demand. */
@NullMarked
package org.skylarkfork.standin.fault;

import org.jspecify.annotations.NullMarked;
