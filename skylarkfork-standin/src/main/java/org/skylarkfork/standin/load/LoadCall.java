package org.skylarkfork.standin.load;

import org.jspecify.annotations.Nullable;

/**
 * A request as the stand-in caller makes it.
 *
 * @param number number of the request, from 0
 * @param kind what it is
 * @param key its idempotency key
 * @param session its session, or null
 * @param team index of the team's key
 * @param prompt prompt of a draft, or what a lookup or issue is about; unlike any other
 */
record LoadCall(
    int number, LoadKind kind, String key, @Nullable String session, int team, String prompt) {}
