package org.skylarkfork.core.membership;

/**
 * What one daemon tells another about a third.
 *
 * @param member the daemon as it last described itself
 * @param status what the sender holds of it
 * @param accuser name of the daemon that first suspected it, or empty
 */
public record MemberUpdate(Member member, MemberStatus status, String accuser) {

  /** Returns the name of the daemon that this is about. */
  public String name() {
    return member.name();
  }

  /** Returns whether this prevails over what is known of the same daemon. */
  public boolean overrides(MemberUpdate known) {
    if (member.incarnation() != known.member.incarnation()) {
      return member.incarnation() > known.member.incarnation();
    }
    if (status == MemberStatus.LEFT || known.status == MemberStatus.LEFT) {
      // A process that said it ends never comes back, whatever others still pass on about it.
      return known.status != MemberStatus.LEFT;
    }
    if (member.revision() != known.member.revision()) {
      return member.revision() > known.member.revision();
    }
    return status.compareTo(known.status) > 0;
  }
}
