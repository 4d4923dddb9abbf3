/**
 * Estimates of what engines have cached and of the time that a prompt will take there.
 *
 * <p>The inputs are the attempts that were sent and the times of their first bytes. The outputs are
 * the tokens that an engine has probably cached and the expected times. Nothing here depends on
 * routes, callers or other entries' addresses, and the present time is always an argument.
 */
@NullMarked
package org.skylarkfork.core.placement;

import org.jspecify.annotations.NullMarked;
