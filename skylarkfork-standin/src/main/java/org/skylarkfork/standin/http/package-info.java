/** The small part of HTTP and JSON that all stand-ins share. */
@NullMarked
package org.skylarkfork.standin.http;

import org.jspecify.annotations.NullMarked;
