/**
 * Fair shares of teams at the engines of a scheduler's group.
 *
 * <p>Under contention, attempts of teams that use more than their max-min fair share are ordered
 * behind others at their engine. The package decides by how much, and estimates the waits that
 * follow from it. It knows neither messages nor upstreams.
 */
@NullMarked
package org.skylarkfork.core.fairshare;

import org.jspecify.annotations.NullMarked;
