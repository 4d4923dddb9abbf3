/**
 * What an entry has received of an upstream's answer, and whether that is a whole answer. The
 * package knows neither requests nor sockets.
 */
@NullMarked
package org.skylarkfork.core.answer;

import org.jspecify.annotations.NullMarked;
