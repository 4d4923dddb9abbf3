/** Serializes records to MessagePack or JSON and deserializes them. */
@NullMarked
package org.skylarkfork.runtime.codec;

import org.jspecify.annotations.NullMarked;
