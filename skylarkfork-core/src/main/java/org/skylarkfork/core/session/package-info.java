/** Which version each session keeps. */
@NullMarked
package org.skylarkfork.core.session;

import org.jspecify.annotations.NullMarked;
