/** The stand-in caller: sends requests as callers do and checks what comes back. */
@NullMarked
package org.skylarkfork.standin.load;

import org.jspecify.annotations.NullMarked;
