/** Callers' requests and the results of running them, as immutable data. */
@NullMarked
package org.skylarkfork.core.request;

import org.jspecify.annotations.NullMarked;
