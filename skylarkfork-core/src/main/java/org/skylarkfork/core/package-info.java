/** The deterministic reducer of a daemon, and the interfaces of its parts and of their output. */
@NullMarked
package org.skylarkfork.core;

import org.jspecify.annotations.NullMarked;
