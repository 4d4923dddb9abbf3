/** What upstreams announce and the directory of those known. */
@NullMarked
package org.skylarkfork.core.upstream;

import org.jspecify.annotations.NullMarked;
