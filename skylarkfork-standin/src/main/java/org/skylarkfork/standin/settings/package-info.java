/** Reads settings from which values may be left out. */
@NullMarked
package org.skylarkfork.standin.settings;

import org.jspecify.annotations.NullMarked;
