package org.skylarkfork.core.configuration;

/**
 * The replica of the configuration group that this daemon hosts.
 *
 * @param machine the state machine of the replica
 * @param leaderLease reports whether this daemon leads the group
 */
public record LocalReplica(ConfigurationMachine machine, LeaderLease leaderLease) {}
