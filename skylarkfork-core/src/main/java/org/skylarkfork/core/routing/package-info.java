/** Which rule, plan and upstream a request gets. */
@NullMarked
package org.skylarkfork.core.routing;

import org.jspecify.annotations.NullMarked;
