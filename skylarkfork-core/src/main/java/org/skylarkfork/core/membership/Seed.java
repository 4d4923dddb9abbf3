package org.skylarkfork.core.membership;

/**
 * A daemon from which a starting daemon requests the list of members.
 *
 * @param node its node name
 * @param host its IP address
 * @param port its port for other daemons
 */
public record Seed(String node, String host, int port) {}
