/**
 * Identification and quarantine of requests that crash the upstreams which run them, as opposed to
 * requests that were lost in such a crash by chance.
 *
 * <p>Each entry reports the requests that it lost when an upstream ended ({@code CrashDetector}).
 * One daemon decides which of these requests crash upstreams ({@code CrashReview}), and all entries
 * refuse them. The package depends neither on how requests are forwarded nor on how a decision is
 * replicated ({@code QuarantineList}).
 */
@NullMarked
package org.skylarkfork.core.crash;

import org.jspecify.annotations.NullMarked;
