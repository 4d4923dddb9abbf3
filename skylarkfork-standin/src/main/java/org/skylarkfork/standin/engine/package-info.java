/** A model engine that batches continuously, caches prefixes and fails on demand. */
@NullMarked
package org.skylarkfork.standin.engine;

import org.jspecify.annotations.NullMarked;
