package org.skylarkfork.core.membership;

/**
 * Update about a member, exchanged between daemons.
 *
 * @param member the member as last described by itself
 * @param status the member's status in the view of the sender
 * @param accuser name of the daemon that first suspected the member, or empty
 */
public record MemberUpdate(Member member, MemberStatus status, String accuser) {

  /** Returns the name of the member. */
  public String name() {
    return member.name();
  }

  /** Returns whether this update overrides a known one of the same member. */
  public boolean overrides(MemberUpdate known) {
    if (member.incarnation() != known.member.incarnation()) {
      return member.incarnation() > known.member.incarnation();
    }
    if (status == MemberStatus.LEFT || known.status == MemberStatus.LEFT) {
      // A process that announced its end never returns, so older updates about it are ignored.
      return known.status != MemberStatus.LEFT;
    }
    if (member.revision() != known.member.revision()) {
      return member.revision() > known.member.revision();
    }
    return status.compareTo(known.status) > 0;
  }
}
