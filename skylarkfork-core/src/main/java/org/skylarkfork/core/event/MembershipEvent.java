package org.skylarkfork.core.event;

import org.skylarkfork.core.membership.Member;

/** What became known of other daemons; raised within the reducer. */
public sealed interface MembershipEvent extends Event {

  /**
   * A daemon is there that was not, or a new process of a known daemon.
   *
   * @param member the daemon
   */
  record MemberJoined(Member member) implements MembershipEvent {}

  /**
   * A live daemon said something new of itself, or refuted a suspicion.
   *
   * @param member the daemon
   */
  record MemberChanged(Member member) implements MembershipEvent {}

  /**
   * A daemon does not answer; it counts as there until it dies or refutes.
   *
   * @param member the daemon
   */
  record MemberSuspected(Member member) implements MembershipEvent {}

  /**
   * A daemon did not refute a suspicion in time.
   *
   * @param member the daemon
   */
  record MemberDied(Member member) implements MembershipEvent {}

  /**
   * A daemon ended as planned.
   *
   * @param member the daemon
   */
  record MemberLeft(Member member) implements MembershipEvent {}
}
