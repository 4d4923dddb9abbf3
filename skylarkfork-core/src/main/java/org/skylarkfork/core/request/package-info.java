/** What callers ask for and how it ended, as data. */
@NullMarked
package org.skylarkfork.core.request;

import org.jspecify.annotations.NullMarked;
