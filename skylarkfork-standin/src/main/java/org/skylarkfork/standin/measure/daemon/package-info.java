/** Measures the decisions of one whole daemon against baselines, in virtual time. */
@NullMarked
package org.skylarkfork.standin.measure.daemon;

import org.jspecify.annotations.NullMarked;
