/**
 * Requests that wait until their entry is ready, above all after a full outage: how long they wait,
 * how many wait, and in which order they are released. The package knows neither routes nor
 * upstreams.
 */
@NullMarked
package org.skylarkfork.core.recovery;

import org.jspecify.annotations.NullMarked;
