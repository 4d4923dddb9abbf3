package org.skylarkfork.core.session;

/**
 * Identifies a session; the sessions of two teams may have the same name.
 *
 * @param team name of the team
 * @param session name of the session as given by the caller
 */
public record SessionKey(String team, String session) {}
