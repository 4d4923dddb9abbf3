/** Tests of the start and the end of a process. */
@NullMarked
package org.skylarkfork.runtime.startup;

import org.jspecify.annotations.NullMarked;
