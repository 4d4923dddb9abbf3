package org.skylarkfork.core.membership;

import java.util.List;

/**
 * A daemon as described by itself.
 *
 * @param name node name, unique among running processes
 * @param host IP address
 * @param framePort port for other daemons
 * @param callerPort port for callers, or 0 if the daemon serves no callers
 * @param adminPort port for operators, or 0 if the daemon serves no operators
 * @param zone availability zone
 * @param region region of the zone
 * @param roles names of its roles, such as {@link #ENTRY}
 * @param weight its share of callers relative to other entries, above 0
 * @param incarnation number of the process, increased by each restart
 * @param revision number that the process increases with each change and each refutation
 * @param serving whether the daemon accepts new work
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

  /** Role of daemons that replicate persistent state. */
  public static final String CONTROL = "control";

  /** Copies the list of roles. */
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

  /** Returns whether both members have the same address. */
  public boolean sameAddress(Member other) {
    return host.equals(other.host) && framePort == other.framePort;
  }

  /** Returns a copy with another incarnation, revision and serving state. */
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
