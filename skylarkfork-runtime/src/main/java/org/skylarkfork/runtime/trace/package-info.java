/** Metrics, log lines and the time line. */
@NullMarked
package org.skylarkfork.runtime.trace;

import org.jspecify.annotations.NullMarked;
