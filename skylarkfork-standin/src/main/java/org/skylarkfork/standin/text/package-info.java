/** Prompts and answers whose content can be checked. */
@NullMarked
package org.skylarkfork.standin.text;

import org.jspecify.annotations.NullMarked;
