/** Roll-outs of a service's versions: what entries counted, and when a roll-out is decided. */
@NullMarked
package org.skylarkfork.core.rollout;

import org.jspecify.annotations.NullMarked;
