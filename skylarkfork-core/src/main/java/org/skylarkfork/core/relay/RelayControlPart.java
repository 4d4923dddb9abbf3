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
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.message.RelayMessage.DirectoryChanges;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.EntryUpdate;
import org.skylarkfork.core.message.RelayMessage.Neighbourhood;
import org.skylarkfork.core.message.RelayMessage.SharedState;

/** A control VM's work for the relay: operators' commands, the directory and its spreading. */
public final class RelayControlPart implements Part {

  private static final Duration JUDGE = Duration.ofMillis(200);

  /** Longest time after the start without a leader for which no calls are taken. */
  private static final Duration LONGEST_QUIET = Duration.ofMillis(1200);

  /** Age of a command from which on it is one that a restart replays. */
  private static final Duration REPLAYED = Duration.ofSeconds(5);

  private final String node;
  private final RelayMachine machine;
  private final ConsensusPart consensus;
  private final RelayTimes times;
  private final RollOutJudge judge;
  private final UpstreamRegistry upstreams;
  private final EntryRegistry entries;
  private final Map<Long, Long> callBySubmission = new HashMap<>();
  private final Map<String, EntryPoll> unproven = new HashMap<>();
  private final Map<String, Instant> unprovenSince = new HashMap<>();
  private @Nullable String leader;
  private Instant leadsSince = Instant.EPOCH;
  private long stateIndex;
  private long term;
  private Instant judgedAt = Instant.EPOCH;
  private @Nullable Instant startedAt;
  private boolean takesCalls;
  private boolean news;

  /**
   * Makes the part.
   *
   * @param node peer name of this daemon
   * @param machine the replica's state, touched by the reducer's thread only
   * @param consensus the replica of the relay's group
   * @param times when to do what
   * @param rollOuts how roll-outs go on
   */
  public RelayControlPart(
      String node,
      RelayMachine machine,
      ConsensusPart consensus,
      RelayTimes times,
      RollOutSettings rollOuts) {
    this.node = node;
    this.machine = machine;
    this.consensus = consensus;
    this.times = times;
    this.judge = new RollOutJudge(rollOuts);
    this.upstreams = new UpstreamRegistry(times);
    this.entries = new EntryRegistry(times);
  }

  /**
   * Returns where callers may connect, entries of a zone first.
   *
   * @param zone the caller's availability zone
   */
  public List<String> callerAddresses(String zone) {
    return entries.callerAddresses(zone);
  }

  /** Returns the upstreams that this control VM has heard of. */
  public List<UpstreamStatus> upstreams() {
    return upstreams.all();
  }

  /** Returns the leader that this control VM knows, or null. */
  public @Nullable String leader() {
    return leader;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof RelayEvent.CommandAsked asked) {
      submit(asked, now, output);
    } else if (event instanceof RelayEvent.HeartbeatReceived heartbeat) {
      onHeartbeat(heartbeat.instance(), now, output);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      onMessage(received, now, output);
    } else if (event instanceof ConsensusEvent consensusEvent) {
      onConsensus(consensusEvent, now, output);
    }
  }

  /**
   * Takes calls from the first leader on.
   *
   * <p>Before, there is nothing to answer. After a crash of everything all callers and upstreams
   * call at once, and a control VM that answers them delays its own votes: with less than half a
   * core the election took 0.83 s in place of 0.49. One that finds no leader in time is cut off and
   * tells callers at least which entries it hears.
   */
  private void takeCalls(Output output) {
    if (!takesCalls) {
      takesCalls = true;
      output.effect(new RelayEffect.TakeCalls());
    }
  }

  private void submit(RelayEvent.CommandAsked asked, Instant now, Output output) {
    long submission = consensus.submitter().newSubmissionId();
    callBySubmission.put(submission, asked.callId());
    consensus
        .submitter()
        .submit(
            GroupId.RELAY,
            asked.command(),
            submission,
            now.plusMillis(asked.limitMillis()),
            now,
            output);
  }

  private void onConsensus(ConsensusEvent event, Instant now, Output output) {
    if (event instanceof ConsensusEvent.SubmissionAnswered answered) {
      reply(answered.submissionId(), answered.result(), "", output);
    } else if (event instanceof ConsensusEvent.SubmissionFailed failed) {
      reply(failed.submissionId(), null, failed.remedy(), output);
    } else if (event instanceof ConsensusEvent.CommandCommitted committed) {
      committed(committed, now, output);
    } else if (event instanceof ConsensusEvent.GroupRestored restored) {
      stateIndex = restored.index();
      machine.leaving().forEach(upstreams::leaves);
    } else if (event instanceof ConsensusEvent.LeaderChanged changed) {
      leaderChanged(changed, now, output);
    }
  }

  private void reply(
      long submission, @Nullable CommandResult result, String remedy, Output output) {
    Long call = callBySubmission.remove(submission);
    if (call != null) {
      output.effect(new RelayEffect.ReplyToCall(call, result, remedy));
    }
  }

  private void committed(ConsensusEvent.CommandCommitted committed, Instant now, Output output) {
    if (!(committed.command() instanceof RelayCommand command) || isRead(command)) {
      return;
    }
    stateIndex = committed.index();
    if (command instanceof RelayCommand.UpstreamLeaves leaves) {
      upstreams.leaves(leaves.run());
    }
    // A restart replays the log, as fast as it can; only what is new is told.
    if (Duration.between(committed.stampedAt(), now).compareTo(REPLAYED) < 0) {
      logState(committed, command, output);
    }
    news = true;
  }

  private static void logState(
      ConsensusEvent.CommandCommitted committed, RelayCommand command, Output output) {
    log(output, "state_changed", "index=" + committed.index() + " command=" + describe(command));
  }

  private static boolean isRead(RelayCommand command) {
    return command instanceof RelayCommand.ReadConfiguration
        || command instanceof RelayCommand.ReadRollOut;
  }

  private static String describe(RelayCommand command) {
    if (command instanceof RelayCommand.PutConfiguration put) {
      return "PutConfiguration version=" + put.configuration().version();
    }
    return command.toString();
  }

  private void leaderChanged(ConsensusEvent.LeaderChanged changed, Instant now, Output output) {
    leader = changed.node();
    term = changed.term();
    unproven.clear();
    unprovenSince.clear();
    if (node.equals(leader)) {
      leadsSince = now;
      entries.nodes().forEach(entry -> await(entry, entries.heardAt(entry)));
    } else if (leader != null) {
      for (UpstreamStatus status : upstreams.all()) {
        send(leader, new RelayMessage.UpstreamHeard(status.instance()), output);
      }
    }
    log(output, "leader_changed", "node=" + leader + " term=" + term);
  }

  private boolean leads() {
    return node.equals(leader);
  }

  private void onHeartbeat(UpstreamInstance instance, Instant now, Output output) {
    if (isUnknown(instance.service())) {
      log(output, "heartbeat_ignored", "id=" + instance.id() + " service=" + instance.service());
      return;
    }
    heard(instance, now, output);
    if (leader != null && !leads()) {
      send(leader, new RelayMessage.UpstreamHeard(instance), output);
    }
  }

  /**
   * Returns whether a service is none of the configuration's.
   *
   * <p>A heartbeat of such a one is another writer's. Believed, it could take the address of an
   * upstream that serves. A real one whose service is added just now comes again with its next.
   */
  private boolean isUnknown(String service) {
    RelayConfiguration known = machine.configuration();
    return known.version() > 0
        && known.services().stream().noneMatch(one -> one.name().equals(service));
  }

  private void heard(UpstreamInstance instance, Instant now, Output output) {
    long before = upstreams.sequence();
    upstreams.heard(instance, machine.isLeaving(instance.run()), now);
    if (upstreams.sequence() != before) {
      news = true;
      log(
          output,
          "upstream_heard",
          "id="
              + instance.id()
              + " born_ms="
              + instance.bornMillis()
              + " address="
              + instance.address());
    }
  }

  private void onMessage(PeerEvent.MessageReceived received, Instant now, Output output) {
    if (received.message() instanceof EntryPoll poll) {
      onPoll(received.node(), poll, now, output);
    } else if (received.message() instanceof RelayMessage.UpstreamHeard heard) {
      heard(heard.instance(), now, output);
    }
  }

  private void onPoll(String entry, EntryPoll poll, Instant now, Output output) {
    EntryPoll before = entries.heard(entry, poll, now);
    news |= entries.changed();
    for (VersionCounts counts : poll.counts()) {
      judge.add(counts, find(before, counts));
    }
    if (leads()) {
      await(entry, now);
    } else if (poll.searching() && !controlNodes().isEmpty()) {
      send(entry, namedControlNodes(), output);
    }
  }

  /**
   * Returns what is told to an entry that searches for the leader.
   *
   * <p>A restarted entry knows the seeds only. Once another control VM leads, none of them would
   * answer it, and it would refuse its callers for good.
   */
  private EntryUpdate namedControlNodes() {
    DirectoryChanges nothing = new DirectoryChanges(0, 0, false, false, List.of());
    return new EntryUpdate(null, 0, null, null, nothing, controlNodes(), 0, null);
  }

  /**
   * Lets an entry's newest poll wait for a proof.
   *
   * <p>Polls that came before this control VM was elected wait as well: what was accepted before
   * they came is in the log of each later leader. An entry needn't poll again then, which took it a
   * quarter of a second after each election.
   */
  private void await(String entry, Instant polledAt) {
    unproven.put(entry, entries.poll(entry));
    unprovenSince.put(entry, polledAt);
  }

  private static @Nullable VersionCounts find(EntryPoll before, VersionCounts counts) {
    for (VersionCounts older : before.counts()) {
      if (older.service().equals(counts.service()) && older.version().equals(counts.version())) {
        return older;
      }
    }
    return null;
  }

  private void tick(Instant now, Output output) {
    entries.tick(now);
    news |= entries.changed();
    long before = upstreams.sequence();
    upstreams.tick(now);
    news |= upstreams.sequence() != before;
    if (startedAt == null) {
      startedAt = now;
    }
    if (leader != null || !now.isBefore(startedAt.plus(LONGEST_QUIET))) {
      takeCalls(output);
    }
    if (!leads()) {
      return;
    }
    tellEntries(output);
    if (!now.isBefore(judgedAt.plus(JUDGE))) {
      judge.age(judgedAt.equals(Instant.EPOCH) ? JUDGE : Duration.between(judgedAt, now));
      judgedAt = now;
      judgeRollOuts(now, output);
    }
  }

  /**
   * Tells the entries what is new and answers their polls, once it is certain that this control VM
   * leads.
   *
   * <p>What is new within a tick goes out together. Each upstream that was heard after an election
   * went to all entries by itself before, and the configuration twice, an old one first.
   */
  private void tellEntries(Output output) {
    if (consensus.provenAt(GroupId.RELAY).equals(Instant.EPOCH)) {
      return;
    }
    Set<String> told = answerProven(output);
    if (news) {
      news = false;
      entries.nodes().stream()
          .filter(entry -> !told.contains(entry))
          .forEach(entry -> update(entry, null, output));
    }
  }

  /**
   * Answers polls that came before the newest moment at which a majority still followed this
   * leader.
   *
   * <p>A leader that was cut off and replaced doesn't know it. Answering at once it would prolong
   * the right to use a key that its successor has removed. A majority's answer to something sent
   * after the poll came shows that no successor had been elected by then.
   */
  private Set<String> answerProven(Output output) {
    Set<String> told = new HashSet<>();
    Instant proven = consensus.provenAt(GroupId.RELAY);
    unproven.keySet().retainAll(entries.nodes());
    for (String entry : List.copyOf(unproven.keySet())) {
      if (unprovenSince.getOrDefault(entry, Instant.MAX).isBefore(proven)) {
        EntryPoll poll = unproven.remove(entry);
        update(entry, poll.sentAt(), output);
        told.add(entry);
      }
    }
    return told;
  }

  private void update(String entry, @Nullable Instant provenAt, Output output) {
    EntryPoll known = entries.poll(entry);
    RelayConfiguration newest = machine.configuration();
    boolean sharedKnown = known.stateIndex() >= stateIndex;
    // The newest judgement is at most two tenths of a second old, which is close enough for this.
    boolean settled = leadsSince.plus(times.settling()).isBefore(judgedAt);
    send(
        entry,
        new EntryUpdate(
            provenAt,
            stateIndex,
            newest.version() > known.version() ? newest : null,
            sharedKnown ? null : new SharedState(machine.rollOuts(), machine.leaving()),
            upstreams.changes(term, settled, known.directoryEpoch(), known.directorySequence()),
            controlNodes(),
            entries.serving(),
            neighbourhood(entry, known)),
        output);
  }

  /**
   * Returns what an entry lacks of the other entries, or null.
   *
   * <p>A control VM that has just become the leader may not have heard each entry yet. Its list
   * would take callers from the others, so for a while only an entry without any list gets it.
   */
  private @Nullable Neighbourhood neighbourhood(String entry, EntryPoll known) {
    boolean early = judgedAt.isBefore(leadsSince.plus(times.backgroundPoll()));
    if (early && known.neighbourhoodVersion() != 0) {
      return null;
    }
    Neighbourhood newest = entries.neighbourhood(entry);
    return newest.version() == known.neighbourhoodVersion() ? null : newest;
  }

  private List<String> controlNodes() {
    GroupStatus status = consensus.status(GroupId.RELAY);
    return status == null ? List.of() : status.members().all().stream().map(Member::node).toList();
  }

  private void judgeRollOuts(Instant now, Output output) {
    for (ServiceRollOut rollOut : machine.rollOuts()) {
      if (!rollOut.running()) {
        continue;
      }
      RollOutPhase next = judge.next(rollOut, now);
      if (next != null) {
        log(
            output,
            "roll_out",
            "service="
                + rollOut.service()
                + " target="
                + rollOut.target()
                + " phase="
                + rollOut.phase()
                + " next="
                + next);
        advance(rollOut, next, now, output);
      }
    }
  }

  private void advance(ServiceRollOut rollOut, RollOutPhase next, Instant now, Output output) {
    consensus
        .submitter()
        .submit(
            GroupId.RELAY,
            new RelayCommand.AdvanceRollOut(rollOut.service(), rollOut.target(), next),
            consensus.submitter().newSubmissionId(),
            now.plusSeconds(2),
            now,
            output);
  }

  private static void send(String to, RelayMessage message, Output output) {
    output.effect(new SendToPeer(to, message));
  }

  private static void log(Output output, String what, String facts) {
    output.effect(new TraceEffect.LogLine(false, "relay", "event=" + what + " " + facts));
  }
}
