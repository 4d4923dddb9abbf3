/** The life of a request: attempts, retries, hedges, resumes, cascades and its one answer. */
@NullMarked
package org.skylarkfork.core.attempt;

import org.jspecify.annotations.NullMarked;
