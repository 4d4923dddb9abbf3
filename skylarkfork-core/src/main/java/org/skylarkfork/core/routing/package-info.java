/** Selection of the rule, the plan, the model version and the upstream for a request. */
@NullMarked
package org.skylarkfork.core.routing;

import org.jspecify.annotations.NullMarked;
