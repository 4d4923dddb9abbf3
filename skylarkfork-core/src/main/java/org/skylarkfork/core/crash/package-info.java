/**
 * Requests that end the upstreams which run them: how they are told from those that were there by
 * chance, and refused by all entries.
 *
 * <p>Entries say which requests they lost with an upstream that ended ({@code CrashWatch}), one
 * daemon judges ({@code CrashReview}). It knows neither how requests are passed on nor how a
 * finding is replicated ({@code QuarantineList}).
 */
@NullMarked
package org.skylarkfork.core.crash;

import org.jspecify.annotations.NullMarked;
