/** Announces a stand-in upstream to the entries and repeats that as a heartbeat. */
@NullMarked
package org.skylarkfork.standin.announce;

import org.jspecify.annotations.NullMarked;
