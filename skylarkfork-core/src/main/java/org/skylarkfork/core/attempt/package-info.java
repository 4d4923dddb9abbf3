/** Request processing: attempts, retries, hedges, resumed streams, escalations and delivery. */
@NullMarked
package org.skylarkfork.core.attempt;

import org.jspecify.annotations.NullMarked;
