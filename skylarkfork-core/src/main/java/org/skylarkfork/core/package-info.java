/** The reducer, its parts and what they are given. */
@NullMarked
package org.skylarkfork.core;

import org.jspecify.annotations.NullMarked;
