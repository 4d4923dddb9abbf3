/** The one thread that feeds the reducer and hands its effects on. */
@NullMarked
package org.skylarkfork.runtime.loop;

import org.jspecify.annotations.NullMarked;
