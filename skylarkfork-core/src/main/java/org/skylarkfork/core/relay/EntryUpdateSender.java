package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.message.RelayMessage.SharedState;

/** Sends updates from a control VM to entries: answers to their polls, and changes. */
final class EntryUpdateSender {

  /**
   * Minimum time between two rounds of changes to all entries while a leader is new, for each
   * entry. A message takes a slow VM about half of it.
   */
  private static final Duration UNSETTLED_TIME_PER_ENTRY = Duration.ofMillis(1);

  private final RelayMachine machine;
  private final ConsensusPart consensus;
  private final UpstreamRegistry upstreams;
  private final EntryRegistry entries;
  private final RelayTimings times;
  private final Map<String, EntryPoll> pendingPolls = new HashMap<>();
  private final Map<String, Instant> pendingSince = new HashMap<>();
  private final Map<String, SentUpdate> sentUpdates = new HashMap<>();
  private long term;
  private Instant leaderSince = Instant.EPOCH;
  private Instant changesSentAt = Instant.EPOCH;
  private String loggedWeights = "";

  EntryUpdateSender(
      RelayMachine machine,
      ConsensusPart consensus,
      UpstreamRegistry upstreams,
      EntryRegistry entries,
      RelayTimings times) {
    this.machine = machine;
    this.consensus = consensus;
    this.upstreams = upstreams;
    this.entries = entries;
    this.times = times;
  }

  /**
   * What an entry was sent since one of its polls.
   *
   * <p>An entry reports what it has with its next poll only. After a restart of all entries, each
   * change of one of them went to all others within half a second, and each time with the whole
   * configuration and the list of entries, which kept the leader busy for most of that time. A
   * message that was lost is repeated after the next poll.
   *
   * @param polledAt time of the entry's newest poll when the update was sent
   * @param configuration version of the configuration that the entry has or was sent
   * @param neighbourhood version of the neighbourhood that was sent; 0 for none
   */
  private record SentUpdate(Instant polledAt, long configuration, long neighbourhood) {}

  /** Discards the polls that wait for a proof; their senders poll the new leader. */
  void clear() {
    pendingPolls.clear();
    pendingSince.clear();
  }

  /** Starts a term as leader, in which the newest poll of each entry waits for an answer. */
  void startLeading(long newTerm, Instant now) {
    term = newTerm;
    leaderSince = now;
    sentUpdates.clear();
    entries.nodes().forEach(entry -> awaitProof(entry, entries.lastPollAt(entry)));
  }

  /**
   * Queues an entry's newest poll until the leadership is confirmed for a time after the poll.
   *
   * <p>Polls that arrived before this control VM was elected are queued as well: the log of each
   * later leader contains all changes that were accepted before these polls. Otherwise entries
   * would have to poll again, which took a quarter of a second after each election.
   */
  void awaitProof(String entry, Instant polledAt) {
    pendingPolls.put(entry, entries.newestPoll(entry));
    pendingSince.put(entry, polledAt);
  }

  /**
   * Sends the list of control VMs to an entry that searches for the leader.
   *
   * <p>A restarted entry knows the seeds only. If none of them leads, no control VM would answer
   * its polls, and it would refuse its callers permanently.
   */
  void sendControlNodes(String entry, Output output) {
    if (!controlNodes().isEmpty()) {
      DirectoryChanges noChanges = new DirectoryChanges(0, 0, false, false, List.of());
      output.effect(
          new SendToPeer(
              entry, new EntryUpdate(null, 0, null, null, noChanges, controlNodes(), 0, null)));
    }
  }

  /**
   * Answers polls and sends changes to the entries, once this control VM's leadership is confirmed.
   *
   * <p>All changes within a tick are sent in one message. Sent one by one after an election, each
   * upstream went to all entries in a message of its own, and the configuration twice, an outdated
   * one first.
   *
   * @param changed whether there are changes to send
   * @param stateIndex log index of the state that is sent
   * @param now the present time
   * @param output receives the messages
   * @return whether changes were sent
   */
  boolean sendUpdates(boolean changed, long stateIndex, Instant now, Output output) {
    if (consensus.leadershipConfirmedAt(GroupId.RELAY).equals(Instant.EPOCH)) {
      return false;
    }
    Set<String> updated = answerProven(stateIndex, now, output);
    boolean isDue = changed && !isPostponed(now);
    if (isDue) {
      changesSentAt = now;
      logWeights(output);
      entries.nodes().stream()
          .filter(entry -> !updated.contains(entry))
          .forEach(entry -> sendUpdate(entry, null, stateIndex, now, output));
    }
    return isDue;
  }

  /**
   * Returns whether changes wait until more of them can be sent together.
   *
   * <p>A new leader receives the heartbeats and polls of all upstreams and entries within a second
   * or two. If each tick of that time sends its changes to all entries, the leader does little
   * else, and answers their first polls late.
   */
  private boolean isPostponed(Instant now) {
    boolean settled = leaderSince.plus(times.settlingTime()).isBefore(now);
    Duration interval = UNSETTLED_TIME_PER_ENTRY.multipliedBy(entries.nodes().size());
    return !settled && now.isBefore(changesSentAt.plus(interval));
  }

  /** Logs the weights of the entries if they differ from those last logged. */
  private void logWeights(Output output) {
    String weights = entries.lists().describe();
    if (!weights.equals(loggedWeights)) {
      loggedWeights = weights;
      output.effect(new TraceEffect.LogLine(false, "relay", "event=entry_weights " + weights));
    }
  }

  /**
   * Answers the polls that arrived before the newest time at which a majority confirmed this
   * leadership.
   *
   * <p>A leader that was partitioned and replaced does not know it. If it answered polls at once,
   * it would extend the validity of a key that its successor has removed. A majority's answer to a
   * message that was sent after the poll arrived shows that no successor had been elected by then.
   */
  private Set<String> answerProven(long stateIndex, Instant now, Output output) {
    Set<String> updated = new HashSet<>();
    Instant proven = consensus.leadershipConfirmedAt(GroupId.RELAY);
    pendingPolls.keySet().retainAll(entries.nodes());
    sentUpdates.keySet().retainAll(entries.nodes());
    for (String entry : List.copyOf(pendingPolls.keySet())) {
      if (pendingSince.getOrDefault(entry, Instant.MAX).isBefore(proven)) {
        EntryPoll poll = pendingPolls.remove(entry);
        sendUpdate(entry, poll.sentAt(), stateIndex, now, output);
        updated.add(entry);
      }
    }
    return updated;
  }

  private void sendUpdate(
      String entry, @Nullable Instant provenAt, long stateIndex, Instant now, Output output) {
    EntryPoll lastPoll = entries.newestPoll(entry);
    RelayConfiguration newest = machine.configuration();
    Neighbourhood newNeighbourhood = neighbourhood(entry, lastPoll, now);
    SentUpdate sent =
        new SentUpdate(
            entries.lastPollAt(entry),
            newest.version(),
            newNeighbourhood == null ? 0 : newNeighbourhood.version());
    SentUpdate before = sentUpdates.put(entry, sent);
    boolean samePoll = before != null && before.polledAt.equals(sent.polledAt);
    boolean isRepeated = samePoll && before.configuration == sent.configuration;
    // A proof extends the entry's lease, so it never goes out without the configuration that it
    // proves to be the newest: an earlier message with it may have been lost.
    boolean lacksConfiguration =
        newest.version() > lastPoll.version() && (provenAt != null || !isRepeated);
    boolean lacksNeighbourhood = !(samePoll && before.neighbourhood == sent.neighbourhood);
    boolean hasSharedState = lastPoll.stateIndex() >= stateIndex;
    boolean settled = leaderSince.plus(times.settlingTime()).isBefore(now);
    output.effect(
        new SendToPeer(
            entry,
            new EntryUpdate(
                provenAt,
                stateIndex,
                lacksConfiguration ? newest : null,
                hasSharedState ? null : sharedState(),
                upstreams.changes(
                    term, settled, lastPoll.directoryEpoch(), lastPoll.directorySequence(), now),
                controlNodes(),
                entries.servingCount(),
                lacksNeighbourhood ? newNeighbourhood : null)));
  }

  private SharedState sharedState() {
    List<String> evacuated = machine.evacuations().stream().map(Evacuation::zone).toList();
    List<RequestKey> quarantined =
        machine.quarantined().stream().map(QuarantinedRequest::key).toList();
    return new SharedState(machine.rollOuts(), machine.leaving(), evacuated, quarantined);
  }

  /**
   * Returns the neighbourhood of an entry, or null if the entry has the newest one.
   *
   * <p>A new leader may not have received a poll of each entry yet. Its incomplete list would draw
   * callers away from the missing entries, so for one background poll interval the list is sent
   * only to entries without any.
   */
  private @Nullable Neighbourhood neighbourhood(String entry, EntryPoll lastPoll, Instant now) {
    boolean isNewLeader = now.isBefore(leaderSince.plus(times.backgroundPollInterval()));
    if (isNewLeader && lastPoll.neighbourhoodVersion() != 0) {
      return null;
    }
    Neighbourhood newest = entries.neighbourhood(entry, upstreams.largestPool());
    return newest.version() == lastPoll.neighbourhoodVersion() ? null : newest;
  }

  private List<String> controlNodes() {
    GroupStatus status = consensus.status(GroupId.RELAY);
    return status == null ? List.of() : status.members().all().stream().map(Member::node).toList();
  }
}
