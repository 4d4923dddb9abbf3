package org.skylarkfork.core.command;

/** Commands that a group needs for itself, whatever state it replicates. */
public sealed interface GroupCommand extends Command {

  /** Commits the entries of earlier terms when a leader takes office. */
  record NoOperation() implements GroupCommand {}

  /**
   * Changes nothing; shows that the group agrees on commands and how long that takes.
   *
   * @param key what tells it from other probes
   */
  record Probe(String key) implements GroupCommand {}

  /**
   * Replaces the group's members; in force from the moment it is in a replica's log.
   *
   * <p>Only a leader makes it, from {@link AdmitMember}, {@link RemoveMember} or by itself, and
   * never so that more than one voter changes at a time.
   *
   * @param members the members from now on
   */
  record ChangeMembers(Members members) implements GroupCommand {}

  /**
   * Asks the leader to take a node in as a learner and to make it a voter once it has caught up.
   *
   * <p>The leader answers it once the learner is in the log; it never enters the log itself.
   *
   * @param node name of a daemon that hosts the group
   */
  record AdmitMember(String node) implements GroupCommand {}

  /**
   * Asks the leader to drop a member; it never enters the log itself.
   *
   * @param node name of the daemon; the leader's own name makes it step down after the commit
   */
  record RemoveMember(String node) implements GroupCommand {}
}
