/** HTTP towards callers, upstreams and supporting services. */
@NullMarked
package org.skylarkfork.runtime.http;

import org.jspecify.annotations.NullMarked;
