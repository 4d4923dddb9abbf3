package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.RelayCommand;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.GroupStatus;
import org.skylarkfork.core.crash.CrashReview;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.effect.RelayEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.RelayEvent;
import org.skylarkfork.core.message.CrashMessage;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.message.RelayMessage.EntryPoll;
import org.skylarkfork.core.message.RelayMessage.UpstreamRateLimit;

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
  private final RelayTimings times;
  private final RollOutEvaluator judge;
  private final UpstreamRegistry upstreams;
  private final EntryRegistry entries;
  private final EntryUpdateSender updates;
  private final CrashReview crashes;
  private final Map<Long, AskedCall> callBySubmission = new HashMap<>();
  private @Nullable String leader;
  private long stateIndex;
  private Instant judgedAt = Instant.EPOCH;
  private @Nullable Instant startedAt;
  private boolean takesCalls;
  private boolean news;

  /** A call that waits until its command was agreed on. */
  private record AskedCall(long id, RelayCommand command, Instant askedAt) {}

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
      RelayTimings times,
      RollOutSettings rollOuts) {
    this.node = node;
    this.machine = machine;
    this.consensus = consensus;
    this.times = times;
    this.judge = new RollOutEvaluator(rollOuts);
    this.upstreams = new UpstreamRegistry(times);
    this.entries = new EntryRegistry(times);
    this.updates = new EntryUpdateSender(machine, consensus, upstreams, entries, times);
    this.crashes = new CrashReview(new ReplicatedQuarantine(machine, consensus));
  }

  /**
   * Returns where callers may connect, entries of a zone first.
   *
   * @param zone the caller's availability zone
   */
  public List<String> callerAddresses(String zone) {
    return entries.callerAddresses(zone);
  }

  /** Returns the upstreams that this control VM has heard of, as of a time. */
  public List<UpstreamStatus> upstreams(Instant now) {
    return upstreams.all(now);
  }

  /** Returns the upstreams that name a rate limit; only the leader is told of them. */
  public List<LimitedUpstream> limitedUpstreams() {
    return upstreams.limitedUpstreams();
  }

  /** Returns what this control VM's replica knows of its group, or null before it has one. */
  public @Nullable GroupStatus group() {
    return consensus.status(GroupId.RELAY);
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
    callBySubmission.put(submission, new AskedCall(asked.callId(), asked.command(), now));
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
      reply(answered.submissionId(), answered.result(), "", now, output);
    } else if (event instanceof ConsensusEvent.SubmissionFailed failed) {
      reply(failed.submissionId(), null, failed.remedy(), now, output);
    } else if (event instanceof ConsensusEvent.CommandCommitted committed) {
      committed(committed, now, output);
    } else if (event instanceof ConsensusEvent.GroupRestored restored) {
      stateIndex = restored.index();
      machine.leaving().forEach(upstreams::markLeaving);
    } else if (event instanceof ConsensusEvent.LeaderChanged changed) {
      leaderChanged(changed, now, output);
    }
  }

  private void reply(
      long submission, @Nullable CommandResult result, String remedy, Instant now, Output output) {
    AskedCall call = callBySubmission.remove(submission);
    if (call != null) {
      String facts =
          "call="
              + call.id
              + " command="
              + describe(call.command)
              + " outcome="
              + (result == null ? "none: " + remedy : result.getClass().getSimpleName())
              + " ms="
              + Duration.between(call.askedAt, now).toMillis();
      log(output, "call_answered", facts);
      output.effect(new RelayEffect.ReplyToCall(call.id, result, remedy));
    }
  }

  private void committed(ConsensusEvent.CommandCommitted committed, Instant now, Output output) {
    if (!(committed.command() instanceof RelayCommand command) || isRead(command)) {
      return;
    }
    stateIndex = committed.index();
    if (command instanceof RelayCommand.UpstreamLeaves leaves) {
      upstreams.markLeaving(leaves.run());
    } else if (command instanceof RelayCommand.TakeZoneBack back) {
      upstreams.restoreZone(back.zone(), longestColdMillis(), now);
    } else if (command instanceof RelayCommand.QuarantineRequest request) {
      crashes.onQuarantined(request.key());
    } else if (command instanceof RelayCommand.LiftQuarantine lift) {
      crashes.onLifted(lift.key());
    }
    // A restart replays the log, as fast as it can; only what is new is told.
    if (Duration.between(committed.stampedAt(), now).compareTo(REPLAYED) < 0) {
      logState(committed, command, output);
    }
    news = true;
  }

  private long longestColdMillis() {
    return machine.configuration().services().stream()
        .mapToLong(service -> service.cold().millis())
        .max()
        .orElse(0);
  }

  private static void logState(
      ConsensusEvent.CommandCommitted committed, RelayCommand command, Output output) {
    log(output, "state_changed", "index=" + committed.index() + " command=" + describe(command));
  }

  private static boolean isRead(RelayCommand command) {
    return command instanceof RelayCommand.ReadConfiguration
        || command instanceof RelayCommand.ReadRollOut
        || command instanceof RelayCommand.ReadEvacuations
        || command instanceof RelayCommand.ReadQuarantine;
  }

  private static String describe(RelayCommand command) {
    if (command instanceof RelayCommand.PutConfiguration put) {
      return "PutConfiguration version=" + put.configuration().version();
    }
    return command.toString();
  }

  private void leaderChanged(ConsensusEvent.LeaderChanged changed, Instant now, Output output) {
    leader = changed.node();
    updates.clear();
    crashes.clear();
    if (node.equals(leader)) {
      updates.startLeading(changed.term(), now);
    } else if (leader != null) {
      for (UpstreamStatus status : upstreams.all(now)) {
        send(leader, new RelayMessage.UpstreamHeard(status.instance()), output);
      }
    }
    log(output, "leader_changed", "node=" + leader + " term=" + changed.term());
  }

  /** Returns whether this control VM leads, as far as it knows. */
  public boolean leads() {
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
    upstreams.recordHeartbeat(instance, machine.isLeaving(instance.run()), now);
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
              + instance.address()
              + " cold_ms="
              + instance.coldMillis());
    }
  }

  private void onMessage(PeerEvent.MessageReceived received, Instant now, Output output) {
    if (received.message() instanceof EntryPoll poll) {
      onPoll(received.node(), poll, now, output);
    } else if (received.message() instanceof RelayMessage.UpstreamHeard heard) {
      heard(heard.instance(), now, output);
    } else if (leads() && received.message() instanceof CrashMessage.UpstreamEnded ended) {
      crashes.onUpstreamEnded(ended, now);
    } else if (leads() && received.message() instanceof CrashMessage.RequestServed served) {
      crashes.onRequestServed(served.key(), now);
    }
  }

  private void onPoll(String entry, EntryPoll poll, Instant now, Output output) {
    EntryPoll before = entries.recordPoll(entry, poll, now);
    news |= entries.takeChanged();
    for (VersionCounts counts : poll.counts()) {
      judge.add(counts, find(before, counts));
    }
    for (UpstreamRateLimit heard : poll.limits()) {
      limitHeard(entry, heard, now, output);
    }
    if (leads()) {
      updates.awaitProof(entry, now);
    } else if (poll.searching()) {
      updates.sendControlNodes(entry, output);
    }
  }

  private void limitHeard(String entry, UpstreamRateLimit heard, Instant now, Output output) {
    if (upstreams.recordRateLimit(heard.upstream(), heard.named(), entry, now)) {
      news = true;
      String facts =
          "id="
              + heard.upstream().id()
              + " per_second="
              + heard.named().limit()
              + " entry="
              + entry
              + " age_ms="
              + heard.named().ageMillis();
      log(output, "rate_limit_heard", facts);
    }
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
    news |= entries.takeChanged();
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
    crashes.tick(now, output);
    if (updates.sendUpdates(news, stateIndex, now, output)) {
      news = false;
    }
    if (!now.isBefore(judgedAt.plus(JUDGE))) {
      judge.age(judgedAt.equals(Instant.EPOCH) ? JUDGE : Duration.between(judgedAt, now));
      judgedAt = now;
      judgeRollOuts(now, output);
    }
  }

  private void judgeRollOuts(Instant now, Output output) {
    for (ServiceRollOut rollOut : machine.rollOuts()) {
      if (!rollOut.isRunning()) {
        continue;
      }
      RollOutPhase next = judge.nextPhase(rollOut, now);
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
