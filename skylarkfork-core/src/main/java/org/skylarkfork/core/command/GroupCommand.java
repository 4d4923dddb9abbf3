package org.skylarkfork.core.command;

/** Commands that every group uses for its own operation, independent of the replicated state. */
public sealed interface GroupCommand extends Command {

  /** Commits the entries of earlier terms; a new leader appends it. */
  record NoOperation() implements GroupCommand {}

  /**
   * Changes nothing; shows that the group commits commands and measures how long that takes.
   *
   * @param key key that distinguishes the probe from others
   */
  record Probe(String key) implements GroupCommand {}

  /**
   * Replaces the group's members; takes effect on a replica as soon as it is in the replica's log.
   *
   * <p>Only the leader creates it, for an {@link AdmitMember}, a {@link RemoveMember} or on its own
   * initiative, and never changes more than one voter at a time.
   *
   * @param members the members from now on
   */
  record ChangeMembers(Members members) implements GroupCommand {}

  /**
   * Requests that the leader add a node as a learner and promote it to a voter once it has caught
   * up.
   *
   * <p>The leader answers the command once the learner is in the log. The command itself is never
   * appended to the log.
   *
   * @param node name of a daemon that hosts the group
   */
  record AdmitMember(String node) implements GroupCommand {}

  /**
   * Requests that the leader remove a member; the command itself is never appended to the log.
   *
   * @param node name of the daemon; if it is the leader itself, the leader steps down after the
   *     commit
   */
  record RemoveMember(String node) implements GroupCommand {}
}
