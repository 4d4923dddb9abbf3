package org.skylarkfork.core.relay;

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
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.message.RelayMessage.SharedState;

/** What a control VM tells entries: the answers to their polls, and what is new. */
final class EntryUpdateSender {

  private final RelayMachine machine;
  private final ConsensusPart consensus;
  private final UpstreamRegistry upstreams;
  private final EntryRegistry entries;
  private final RelayTimings times;
  private final Map<String, EntryPoll> unproven = new HashMap<>();
  private final Map<String, Instant> unprovenSince = new HashMap<>();
  private long term;
  private Instant leadsSince = Instant.EPOCH;

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

  /** Forgets the polls that wait for a proof; their senders ask the new leader. */
  void clear() {
    unproven.clear();
    unprovenSince.clear();
  }

  /** Begins to lead: the newest poll of each entry is to be answered. */
  void startLeading(long newTerm, Instant now) {
    term = newTerm;
    leadsSince = now;
    entries.nodes().forEach(entry -> awaitProof(entry, entries.lastPollAt(entry)));
  }

  /**
   * Lets an entry's newest poll wait for a proof.
   *
   * <p>Polls that came before this control VM was elected wait as well: what was accepted before
   * they came is in the log of each later leader. An entry needn't poll again then, which took it a
   * quarter of a second after each election.
   */
  void awaitProof(String entry, Instant polledAt) {
    unproven.put(entry, entries.newestPoll(entry));
    unprovenSince.put(entry, polledAt);
  }

  /**
   * Names the control VMs to an entry that searches for the leader.
   *
   * <p>A restarted entry knows the seeds only. Once another control VM leads, none of them would
   * answer it, and it would refuse its callers for good.
   */
  void sendControlNodes(String entry, Output output) {
    if (!controlNodes().isEmpty()) {
      DirectoryChanges nothing = new DirectoryChanges(0, 0, false, false, List.of());
      output.effect(
          new SendToPeer(
              entry, new EntryUpdate(null, 0, null, null, nothing, controlNodes(), 0, null)));
    }
  }

  /**
   * Answers polls and tells the entries what is new, once it is certain that this control VM leads.
   *
   * <p>What is new within a tick goes out together. Each upstream that was heard after an election
   * went to all entries by itself before, and the configuration twice, an old one first.
   *
   * @param news whether there is anything new
   * @param stateIndex log index that this rests on
   * @param now the present time
   * @param output takes the messages
   * @return whether what is new was told
   */
  boolean sendUpdates(boolean news, long stateIndex, Instant now, Output output) {
    if (consensus.leadershipConfirmedAt(GroupId.RELAY).equals(Instant.EPOCH)) {
      return false;
    }
    Set<String> told = answerProven(stateIndex, now, output);
    if (news) {
      entries.nodes().stream()
          .filter(entry -> !told.contains(entry))
          .forEach(entry -> update(entry, null, stateIndex, now, output));
    }
    return news;
  }

  /**
   * Answers polls that came before the newest moment at which a majority still followed this
   * leader.
   *
   * <p>A leader that was cut off and replaced doesn't know it. Answering at once it would prolong
   * the right to use a key that its successor has removed. A majority's answer to something sent
   * after the poll came shows that no successor had been elected by then.
   */
  private Set<String> answerProven(long stateIndex, Instant now, Output output) {
    Set<String> told = new HashSet<>();
    Instant proven = consensus.leadershipConfirmedAt(GroupId.RELAY);
    unproven.keySet().retainAll(entries.nodes());
    for (String entry : List.copyOf(unproven.keySet())) {
      if (unprovenSince.getOrDefault(entry, Instant.MAX).isBefore(proven)) {
        EntryPoll poll = unproven.remove(entry);
        update(entry, poll.sentAt(), stateIndex, now, output);
        told.add(entry);
      }
    }
    return told;
  }

  private void update(
      String entry, @Nullable Instant provenAt, long stateIndex, Instant now, Output output) {
    EntryPoll known = entries.newestPoll(entry);
    RelayConfiguration newest = machine.configuration();
    boolean sharedKnown = known.stateIndex() >= stateIndex;
    boolean settled = leadsSince.plus(times.settlingTime()).isBefore(now);
    output.effect(
        new SendToPeer(
            entry,
            new EntryUpdate(
                provenAt,
                stateIndex,
                newest.version() > known.version() ? newest : null,
                sharedKnown ? null : shared(),
                upstreams.changes(
                    term, settled, known.directoryEpoch(), known.directorySequence(), now),
                controlNodes(),
                entries.servingCount(),
                neighbourhood(entry, known, now))));
  }

  private SharedState shared() {
    List<String> evacuated = machine.evacuations().stream().map(Evacuation::zone).toList();
    List<RequestKey> quarantined =
        machine.quarantined().stream().map(QuarantinedRequest::key).toList();
    return new SharedState(machine.rollOuts(), machine.leaving(), evacuated, quarantined);
  }

  /**
   * Returns what an entry lacks of the other entries, or null.
   *
   * <p>A control VM that has just become the leader may not have heard each entry yet. Its list
   * would take callers from the others, so for a while only an entry without any list gets it.
   */
  private @Nullable Neighbourhood neighbourhood(String entry, EntryPoll known, Instant now) {
    boolean early = now.isBefore(leadsSince.plus(times.backgroundPollInterval()));
    if (early && known.neighbourhoodVersion() != 0) {
      return null;
    }
    Neighbourhood newest = entries.neighbourhood(entry, upstreams.largestPool());
    return newest.version() == known.neighbourhoodVersion() ? null : newest;
  }

  private List<String> controlNodes() {
    GroupStatus status = consensus.status(GroupId.RELAY);
    return status == null ? List.of() : status.members().all().stream().map(Member::node).toList();
  }
}
