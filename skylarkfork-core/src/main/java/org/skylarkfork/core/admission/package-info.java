/** Admission control: team limits, fair queues and early refusal by deadline. */
@NullMarked
package org.skylarkfork.core.admission;

import org.jspecify.annotations.NullMarked;
