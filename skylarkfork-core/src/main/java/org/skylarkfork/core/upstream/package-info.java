/** Announcements of upstreams and the directory of the known upstreams. */
@NullMarked
package org.skylarkfork.core.upstream;

import org.jspecify.annotations.NullMarked;
