/**
 * Retry times of refused callers, spread over the time at which capacity is expected. The package
 * knows neither requests nor upstreams.
 */
@NullMarked
package org.skylarkfork.core.returning;

import org.jspecify.annotations.NullMarked;
