/** Which requests may start now, wait or are refused: limits, queues and deadlines. */
@NullMarked
package org.skylarkfork.core.admission;

import org.jspecify.annotations.NullMarked;
