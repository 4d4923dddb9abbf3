/** What ratings and outcomes tell of each version, and which versions are suspect. */
@NullMarked
package org.skylarkfork.core.quality;

import org.jspecify.annotations.NullMarked;
