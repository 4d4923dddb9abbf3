package org.skylarkfork.core.event;

import org.skylarkfork.core.membership.Member;

/** Changes in the state of other daemons; raised within the reducer by the membership part. */
public sealed interface MembershipEvent extends Event {

  /**
   * A daemon joined, or a new process of a known daemon was detected.
   *
   * @param member the daemon
   */
  record MemberJoined(Member member) implements MembershipEvent {}

  /**
   * A live daemon changed its published data or refuted a suspicion.
   *
   * @param member the daemon
   */
  record MemberChanged(Member member) implements MembershipEvent {}

  /**
   * A daemon did not answer probes and is suspected; it is considered live until the suspicion
   * times out.
   *
   * @param member the daemon
   */
  record MemberSuspected(Member member) implements MembershipEvent {}

  /**
   * A daemon did not refute a suspicion in time and is considered dead.
   *
   * @param member the daemon
   */
  record MemberDied(Member member) implements MembershipEvent {}

  /**
   * A daemon left by a graceful shutdown.
   *
   * @param member the daemon
   */
  record MemberLeft(Member member) implements MembershipEvent {}
}
