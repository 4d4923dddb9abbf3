package org.skylarkfork.core.membership;

import java.util.List;

/**
 * What a daemon says of itself.
 *
 * @param name node name; one running process has it
 * @param host IP number
 * @param framePort port for other daemons
 * @param callerPort port for callers, or 0 if it serves none
 * @param adminPort port for operators, or 0 if it serves none
 * @param zone availability zone
 * @param region region of the zone
 * @param roles names of its roles, such as {@link #ENTRY}
 * @param weight its share of callers against other entries, above 0
 * @param incarnation number of the process; a restart has a higher one
 * @param revision rises with each change and each refutation by this process
 * @param serving whether it takes new work
 */
public record Member(
    String name,
    String host,
    int framePort,
    int callerPort,
    int adminPort,
    String zone,
    String region,
    List<String> roles,
    int weight,
    long incarnation,
    long revision,
    ServingState serving) {

  /** Role of daemons that serve callers. */
  public static final String ENTRY = "entry";

  /** Role of daemons that replicate what must survive. */
  public static final String CONTROL = "control";

  /** Copies the roles. */
  public Member {
    roles = List.copyOf(roles);
  }

  /** Returns whether the daemon has a role. */
  public boolean hasRole(String role) {
    return roles.contains(role);
  }

  /** Returns the address for other daemons. */
  public String address() {
    return host + ":" + framePort;
  }

  /** Returns whether both are at the same address. */
  public boolean sameAddress(Member other) {
    return host.equals(other.host) && framePort == other.framePort;
  }

  /** Returns this with other numbers and another serving state. */
  Member with(long newIncarnation, long newRevision, ServingState newServing) {
    return new Member(
        name,
        host,
        framePort,
        callerPort,
        adminPort,
        zone,
        region,
        roles,
        weight,
        newIncarnation,
        newRevision,
        newServing);
  }
}
