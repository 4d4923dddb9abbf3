/** Settings in YAML, checked against a schema with the line and the remedy in each message. */
@NullMarked
package org.skylarkfork.runtime.settings;

import org.jspecify.annotations.NullMarked;
