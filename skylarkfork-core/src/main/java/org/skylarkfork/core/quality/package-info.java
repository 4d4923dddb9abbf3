/** Quality estimates of each version from ratings and outcomes, and detection of bad versions. */
@NullMarked
package org.skylarkfork.core.quality;

import org.jspecify.annotations.NullMarked;
