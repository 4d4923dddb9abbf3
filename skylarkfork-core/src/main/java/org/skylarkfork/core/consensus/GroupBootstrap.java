package org.skylarkfork.core.consensus;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.GroupCommand;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.Members;
import org.skylarkfork.core.message.RaftMessage.FoundingRequest;
import org.skylarkfork.core.message.RaftMessage.FoundingResponse;
import org.skylarkfork.core.message.RaftMessage.JoinRequest;
import org.skylarkfork.core.message.RaftMessage.JoinResponse;

/**
 * Bootstraps a group, or requests to join it, from a replica that is not yet a member.
 *
 * <p>An empty disk may be a wiped one. A wiped voter that bootstrapped the group again would
 * discard the entries on the other voters, so the first voter in the settings bootstraps the group
 * only after each other voter has reported an empty disk. A voter that is down therefore delays the
 * bootstrap. A replica whose damaged log was set aside isn't empty: it only ever requests to join.
 */
final class GroupBootstrap {

  private final Replica replica;
  private final List<String> initialVoters;
  private final boolean mayFound;
  private final Map<String, Long> emptyInstances = new HashMap<>();
  private List<String> reportedVoters = List.of();
  private Instant nextRequest = Instant.EPOCH;
  private boolean joinRequestLogged;
  private @Nullable String requestedUnderLeader;

  GroupBootstrap(Replica replica, GroupSetup setup) {
    this.replica = replica;
    this.initialVoters = setup.initialVoters();
    this.mayFound = setup.membershipChangePolicy().mayFound();
  }

  void tick(EventContext context) {
    boolean member = replica.members.latest().all().contains(replica.self());
    if (member && replica.leader() != null || !isDue(context.now())) {
      return;
    }
    nextRequest = context.now().plus(replica.settings.timeouts().resendInterval());
    requestedUnderLeader = replica.leader();
    if (mayFound()) {
      requestBootstrap(context);
    } else {
      requestJoin(context);
    }
  }

  /**
   * Returns whether a request is due: at once after a leader change, as the new leader doesn't know
   * earlier requests, and at the resend interval otherwise.
   */
  private boolean isDue(Instant now) {
    String leader = replica.leader();
    boolean newLeader = leader != null && !leader.equals(requestedUnderLeader);
    return newLeader || !now.isBefore(nextRequest);
  }

  private boolean mayFound() {
    return mayFound
        && replica.isEmpty()
        && !initialVoters.isEmpty()
        && initialVoters.get(0).equals(replica.node);
  }

  private void requestBootstrap(EventContext context) {
    for (String node : initialVoters) {
      if (!node.equals(replica.node)) {
        context.send(node, new FoundingRequest(replica.group, replica.instance()));
      }
    }
    bootstrapIfAllEmpty(context);
  }

  private void requestJoin(EventContext context) {
    Set<String> nodes = new LinkedHashSet<>(initialVoters);
    nodes.addAll(reportedVoters);
    nodes.addAll(voterNodes());
    String leader = replica.leader();
    if (leader != null) {
      // A leader still sends entries to a wiped replica as if it had its old disk. Once the other
      // voters in the settings were replaced, the leader may be the only member known here.
      nodes.add(leader);
    }
    nodes.remove(replica.node);
    logFirstRequest(nodes, context);
    for (String node : nodes) {
      context.send(node, new JoinRequest(replica.group, replica.instance()));
    }
  }

  /**
   * Logs the first join request of a replica that isn't a member; requests of voters without a
   * leader and repeated requests aren't logged.
   */
  private void logFirstRequest(Set<String> nodes, EventContext context) {
    if (!joinRequestLogged && !replica.members.latest().all().contains(replica.self())) {
      joinRequestLogged = true;
      context.log(replica.group, "asks_to_join", "member=" + replica.self() + " nodes=" + nodes);
    }
  }

  private List<String> voterNodes() {
    return replica.members.latest().voters().stream().map(Member::node).toList();
  }

  void onJoinRequest(String from, EventContext context) {
    if (!voterNodes().isEmpty()) {
      context.send(from, new JoinResponse(replica.group, voterNodes()));
    }
  }

  void onJoinResponse(JoinResponse response) {
    reportedVoters = response.voters();
  }

  void onRequest(String from, FoundingRequest request, EventContext context) {
    context.send(
        from,
        new FoundingResponse(
            replica.group, request.instance(), replica.instance(), replica.isEmpty()));
  }

  void onResponse(String from, FoundingResponse response, EventContext context) {
    if (response.askedBy() != replica.instance()) {
      return;
    }
    if (response.empty()) {
      emptyInstances.put(from, response.instance());
    } else {
      emptyInstances.remove(from);
    }
    bootstrapIfAllEmpty(context);
  }

  private void bootstrapIfAllEmpty(EventContext context) {
    if (!mayFound()) {
      return;
    }
    List<Member> voters = new ArrayList<>();
    voters.add(replica.self());
    for (String node : initialVoters.subList(1, initialVoters.size())) {
      Long instance = emptyInstances.get(node);
      if (instance == null) {
        return;
      }
      voters.add(new Member(node, instance));
    }
    replica.adoptTerm(1);
    Members members = new Members(voters, List.of());
    replica.append(new GroupCommand.ChangeMembers(members), context.now());
    replica.expireElectionDeadline(context.now());
  }
}
