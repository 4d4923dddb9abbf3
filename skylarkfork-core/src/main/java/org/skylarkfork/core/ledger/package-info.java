/** Claims that let a request run at most once, and bills that count it once. */
@NullMarked
package org.skylarkfork.core.ledger;

import org.jspecify.annotations.NullMarked;
