package org.skylarkfork.core.configuration;

/**
 * The replica of the configuration group that this daemon hosts.
 *
 * @param machine its state machine
 * @param leaderLease whether this daemon leads the group
 */
public record LocalReplica(ConfigurationMachine machine, LeaderLease leaderLease) {}
