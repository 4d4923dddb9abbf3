/** A plain service that counts how often each request ran. */
@NullMarked
package org.skylarkfork.standin.service;

import org.jspecify.annotations.NullMarked;
