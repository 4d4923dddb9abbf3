/** Programs that measure the project on one machine. */
@NullMarked
package org.skylarkfork.standin.measure;

import org.jspecify.annotations.NullMarked;
