/** Turns records into MessagePack or JSON and back. */
@NullMarked
package org.skylarkfork.runtime.codec;

import org.jspecify.annotations.NullMarked;
