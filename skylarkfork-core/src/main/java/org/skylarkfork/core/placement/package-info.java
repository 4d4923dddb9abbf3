/**
 * What is known of engines and of the time that a prompt will take there.
 *
 * <p>In come attempts that were sent and the times of their first bytes; out go tokens that an
 * engine is believed to keep and times that are expected. Nothing here knows routes, callers or
 * other entries' addresses, and the present time is always an argument.
 */
@NullMarked
package org.skylarkfork.core.placement;

import org.jspecify.annotations.NullMarked;
