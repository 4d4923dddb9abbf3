package org.skylarkfork.core.membership;

/**
 * A daemon that a starting daemon asks for the others.
 *
 * @param node its node name
 * @param host its IP number
 * @param port its port for other daemons
 */
public record Seed(String node, String host, int port) {}
