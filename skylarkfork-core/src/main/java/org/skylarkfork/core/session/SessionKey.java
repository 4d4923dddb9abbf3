package org.skylarkfork.core.session;

/**
 * Names a session; two teams may use the same text.
 *
 * @param team name of the team
 * @param session the session as the caller named it
 */
public record SessionKey(String team, String session) {}
