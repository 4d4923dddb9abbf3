/** The command line. */
@NullMarked
package org.skylarkfork.daemon;

import org.jspecify.annotations.NullMarked;
