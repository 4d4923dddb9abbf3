/** What all stand-ins for outside systems have in common. */
@NullMarked
package org.skylarkfork.standin;

import org.jspecify.annotations.NullMarked;
