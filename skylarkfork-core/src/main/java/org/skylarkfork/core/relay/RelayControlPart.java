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
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.core.rollout.EntryCounts;
import org.skylarkfork.core.rollout.RollOutDecision;
import org.skylarkfork.core.rollout.RollOutEvaluator;
import org.skylarkfork.core.rollout.RollOutSettings;
import org.skylarkfork.core.rollout.ServiceRollOut;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Runs a control VM's part of the relay: operators' commands, and the directory of upstreams with
 * its distribution to entries.
 */
public final class RelayControlPart implements Part {

  private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(200);

  /** Maximum time between two log lines about a running roll-out. */
  private static final Duration ROLL_OUT_LOG_INTERVAL = Duration.ofSeconds(1);

  /** Maximum time after the start for which calls are not accepted while there is no leader. */
  private static final Duration MAX_WAIT_FOR_LEADER = Duration.ofMillis(1200);

  /**
   * Time after which a command of this control VM that was not committed may be submitted again.
   */
  private static final Duration SUBMISSION_TIMEOUT = Duration.ofSeconds(2);

  /** Age from which a committed command is considered replayed after a restart. */
  private static final Duration MIN_REPLAYED_AGE = Duration.ofSeconds(5);

  private final String node;
  private final RelayMachine machine;
  private final ConsensusPart consensus;
  private final RelayTimings times;
  private final RollOutEvaluator evaluator;
  private final UpstreamRegistry upstreams;
  private final EntryRegistry entries;
  private final EntryUpdateSender updates;
  private final CrashReview crashes;
  private final Map<Long, PendingCall> callsBySubmission = new HashMap<>();
  private final Map<UpstreamRun, Instant> leavingSubmittedAt = new HashMap<>();
  private @Nullable String leader;
  private long stateIndex;
  private Instant evaluatedAt = Instant.EPOCH;
  private Instant rollOutsLoggedAt = Instant.EPOCH;
  private @Nullable Instant startedAt;
  private boolean acceptsCalls;
  private boolean hasChanges;

  /** A call that waits until its command is committed. */
  private record PendingCall(long id, RelayCommand command, Instant submittedAt) {}

  /**
   * Creates the part.
   *
   * @param node peer name of this daemon
   * @param machine the replica's state, accessed by the reducer's thread only
   * @param consensus the replica of the relay's group
   * @param times intervals and timeouts
   * @param rollOuts settings of roll-outs
   * @param overload parts in use that act under overload
   */
  public RelayControlPart(
      String node,
      RelayMachine machine,
      ConsensusPart consensus,
      RelayTimings times,
      RollOutSettings rollOuts,
      OverloadSettings overload) {
    this.node = node;
    this.machine = machine;
    this.consensus = consensus;
    this.times = times;
    this.evaluator = new RollOutEvaluator(rollOuts);
    this.upstreams = new UpstreamRegistry(times);
    this.entries = new EntryRegistry(times, overload.weightedEntries());
    this.updates = new EntryUpdateSender(machine, consensus, upstreams, entries, times);
    this.crashes =
        new CrashReview(
            new ReplicatedQuarantine(machine, consensus), new EntryPartObservers(entries));
  }

  /**
   * Returns the addresses to which callers may connect, entries of a zone first.
   *
   * @param zone the caller's availability zone
   * @param requester identifies the caller; empty if unknown
   */
  public List<String> callerAddresses(String zone, String requester) {
    return entries.callerAddresses(zone, requester);
  }

  /** Returns the upstreams that are known to this control VM, as of a time. */
  public List<UpstreamStatus> upstreams(Instant now) {
    return upstreams.all(now);
  }

  /** Returns the upstreams that report a rate limit; known to the leader only. */
  public List<LimitedUpstream> limitedUpstreams() {
    return upstreams.limitedUpstreams();
  }

  /** Returns the status of the group at this control VM's replica, or null before it has one. */
  public @Nullable GroupStatus group() {
    return consensus.status(GroupId.RELAY);
  }

  /** Returns the peer name of the leader known to this control VM, or null. */
  public @Nullable String leader() {
    return leader;
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      tick(now, output);
    } else if (event instanceof RelayEvent.CommandAsked requested) {
      submit(requested, now, output);
    } else if (event instanceof RelayEvent.HeartbeatReceived heartbeat) {
      onHeartbeat(heartbeat.instance(), now, output);
    } else if (event instanceof PeerEvent.MessageReceived received) {
      onMessage(received, now, output);
    } else if (event instanceof ConsensusEvent consensusEvent) {
      onConsensus(consensusEvent, now, output);
    }
  }

  /**
   * Starts to accept calls, once a leader is known for the first time.
   *
   * <p>Calls cannot be answered before. When the whole deployment restarts after a crash, all
   * callers and upstreams connect at once, and a control VM that answers them delays its own votes:
   * with less than half a core, the election took 0.83 s instead of 0.49 s. A control VM that finds
   * no leader in time is partitioned, and then serves callers with the addresses of the entries
   * that poll it.
   */
  private void acceptCalls(Output output) {
    if (!acceptsCalls) {
      acceptsCalls = true;
      output.effect(new RelayEffect.TakeCalls());
    }
  }

  private void submit(RelayEvent.CommandAsked requested, Instant now, Output output) {
    long submission = consensus.submitter().newSubmissionId();
    callsBySubmission.put(
        submission, new PendingCall(requested.callId(), requested.command(), now));
    consensus
        .submitter()
        .submit(
            GroupId.RELAY,
            requested.command(),
            submission,
            now.plusMillis(requested.limitMillis()),
            now,
            output);
  }

  private void onConsensus(ConsensusEvent event, Instant now, Output output) {
    if (event instanceof ConsensusEvent.SubmissionAnswered answered) {
      reply(answered.submissionId(), answered.result(), "", now, output);
    } else if (event instanceof ConsensusEvent.SubmissionFailed failed) {
      reply(failed.submissionId(), null, failed.remedy(), now, output);
    } else if (event instanceof ConsensusEvent.CommandCommitted committed) {
      onCommitted(committed, now, output);
    } else if (event instanceof ConsensusEvent.GroupRestored restored) {
      stateIndex = restored.index();
      machine.leaving().forEach(upstreams::markLeaving);
    } else if (event instanceof ConsensusEvent.LeaderChanged changed) {
      onLeaderChanged(changed, now, output);
    }
  }

  private void reply(
      long submission, @Nullable CommandResult result, String remedy, Instant now, Output output) {
    PendingCall call = callsBySubmission.remove(submission);
    if (call != null) {
      String facts =
          "call="
              + call.id
              + " command="
              + describe(call.command)
              + " outcome="
              + (result == null ? "none: " + remedy : result.getClass().getSimpleName())
              + " ms="
              + Duration.between(call.submittedAt, now).toMillis();
      log(output, "call_answered", facts);
      output.effect(new RelayEffect.ReplyToCall(call.id, result, remedy));
    }
  }

  private void onCommitted(ConsensusEvent.CommandCommitted committed, Instant now, Output output) {
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
      crashes.onLifted(lift.key(), now);
    }
    // A restart replays the whole log quickly; only recent commands get a log line.
    if (Duration.between(committed.stampedAt(), now).compareTo(MIN_REPLAYED_AGE) < 0) {
      logState(committed, command, output);
    }
    hasChanges = true;
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

  private void onLeaderChanged(ConsensusEvent.LeaderChanged changed, Instant now, Output output) {
    leader = changed.node();
    updates.clear();
    crashes.clear();
    evaluator.startTerm(now);
    leavingSubmittedAt.clear();
    if (node.equals(leader)) {
      updates.startLeading(changed.term(), now);
    } else if (leader != null) {
      for (UpstreamStatus status : upstreams.all(now)) {
        send(leader, new RelayMessage.UpstreamHeard(status.instance()), output);
      }
    }
    log(output, "leader_changed", "node=" + leader + " term=" + changed.term());
  }

  /** Returns whether this control VM considers itself the leader. */
  public boolean leads() {
    return node.equals(leader);
  }

  private void onHeartbeat(UpstreamInstance instance, Instant now, Output output) {
    if (isUnknown(instance.service())) {
      log(output, "heartbeat_ignored", "id=" + instance.id() + " service=" + instance.service());
      return;
    }
    updateUpstream(instance, now, output);
    if (leader != null && !leads()) {
      send(leader, new RelayMessage.UpstreamHeard(instance), output);
    }
  }

  /**
   * Returns whether a service is missing from the configuration.
   *
   * <p>A heartbeat for such a service comes from a foreign sender and could claim the address of an
   * upstream that serves. An upstream whose service was added just now is accepted with its next
   * heartbeat.
   */
  private boolean isUnknown(String service) {
    RelayConfiguration known = machine.configuration();
    return known.version() > 0
        && known.services().stream().noneMatch(one -> one.name().equals(service));
  }

  private void updateUpstream(UpstreamInstance instance, Instant now, Output output) {
    long before = upstreams.sequence();
    upstreams.recordHeartbeat(instance, machine.isLeaving(instance.run()), now);
    if (upstreams.sequence() != before) {
      hasChanges = true;
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
    } else if (received.message() instanceof RelayMessage.UpstreamHeard forwarded) {
      updateUpstream(forwarded.instance(), now, output);
    } else if (leads() && received.message() instanceof CrashMessage.UpstreamEnded ended) {
      crashes.onUpstreamEnded(ended, now);
    } else if (leads() && received.message() instanceof CrashMessage.RequestServed served) {
      crashes.onRequestServed(served.key(), now);
    } else if (leads() && received.message() instanceof CrashMessage.PartsObserved observed) {
      crashes.onPartsObserved(received.node(), observed, now, output);
    }
  }

  private void onPoll(String entry, EntryPoll poll, Instant now, Output output) {
    entries.recordPoll(entry, poll, now);
    hasChanges |= entries.takeChanged();
    for (UpstreamRateLimit reported : poll.limits()) {
      onRateLimit(entry, reported, now, output);
    }
    if (leads()) {
      EntryCounts report =
          new EntryCounts(
              entry, poll.incarnation(), poll.stateIndex(), poll.counts(), poll.rollOutAges());
      evaluator.record(report, machine.rollOuts(), now);
      poll.leaving().forEach(run -> onLeavingReported(entry, run, now, output));
      updates.awaitProof(entry, now);
    } else if (poll.searching()) {
      updates.sendControlNodes(entry, output);
    }
  }

  /**
   * Replicates that an upstream has stated in an answer to an entry that it is leaving.
   *
   * <p>It may state so to one entry only, and never announce it. Through the log all entries and
   * schedulers know, and each later leader does, whatever heartbeats still arrive.
   */
  private void onLeavingReported(String entry, UpstreamRun run, Instant now, Output output) {
    leavingSubmittedAt.values().removeIf(at -> now.isAfter(at.plus(SUBMISSION_TIMEOUT)));
    boolean isKnown = machine.isLeaving(run) || leavingSubmittedAt.containsKey(run);
    if (isKnown || !upstreams.isRegistered(run)) {
      return;
    }
    leavingSubmittedAt.put(run, now);
    log(output, "leaving_reported", "id=" + run.id() + " entry=" + entry);
    submitUnawaited(new RelayCommand.UpstreamLeaves(run), now, output);
  }

  private void onRateLimit(String entry, UpstreamRateLimit reported, Instant now, Output output) {
    if (upstreams.recordRateLimit(reported.upstream(), reported.named(), entry, now)) {
      hasChanges = true;
      String facts =
          "id="
              + reported.upstream().id()
              + " per_second="
              + reported.named().limit()
              + " entry="
              + entry
              + " age_ms="
              + reported.named().ageMillis();
      log(output, "rate_limit_heard", facts);
    }
  }

  private void tick(Instant now, Output output) {
    entries.tick(now);
    hasChanges |= entries.takeChanged();
    long before = upstreams.sequence();
    upstreams.tick(now);
    hasChanges |= upstreams.sequence() != before;
    if (startedAt == null) {
      startedAt = now;
    }
    if (leader != null || !now.isBefore(startedAt.plus(MAX_WAIT_FOR_LEADER))) {
      acceptCalls(output);
    }
    if (!leads()) {
      return;
    }
    crashes.tick(now, output);
    if (updates.sendUpdates(hasChanges, stateIndex, now, output)) {
      hasChanges = false;
    }
    if (!now.isBefore(evaluatedAt.plus(EVALUATION_INTERVAL))) {
      evaluatedAt = now;
      evaluator.age(now);
      evaluateRollOuts(now, output);
    }
  }

  private void evaluateRollOuts(Instant now, Output output) {
    boolean isLogged = !now.isBefore(rollOutsLoggedAt.plus(ROLL_OUT_LOG_INTERVAL));
    for (ServiceRollOut rollOut : machine.rollOuts()) {
      RollOutDecision decision = evaluator.decide(rollOut, now);
      if (decision != null || isLogged && rollOut.isRunning()) {
        rollOutsLoggedAt = now;
        logRollOut(rollOut, decision, now, output);
      }
      if (decision != null) {
        advance(rollOut, decision, now, output);
      }
    }
  }

  private void logRollOut(
      ServiceRollOut rollOut, @Nullable RollOutDecision decision, Instant now, Output output) {
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
            + (decision == null ? rollOut.phase() : decision.phase())
            + " reason="
            + (decision == null ? "none" : decision.reason())
            + " "
            + evaluator.describe(rollOut, now));
  }

  private void advance(
      ServiceRollOut rollOut, RollOutDecision decision, Instant now, Output output) {
    submitUnawaited(
        new RelayCommand.AdvanceRollOut(
            rollOut.service(),
            rollOut.target(),
            decision.phase(),
            rollOut.startIndex(),
            decision.baseline(),
            decision.sessionShare()),
        now,
        output);
  }

  /** Submits a command for which no caller waits. */
  private void submitUnawaited(RelayCommand command, Instant now, Output output) {
    long submission = consensus.submitter().newSubmissionId();
    Instant deadline = now.plus(SUBMISSION_TIMEOUT);
    consensus.submitter().submit(GroupId.RELAY, command, submission, deadline, now, output);
  }

  private static void send(String to, RelayMessage message, Output output) {
    output.effect(new SendToPeer(to, message));
  }

  private static void log(Output output, String what, String facts) {
    output.effect(new TraceEffect.LogLine(false, "relay", "event=" + what + " " + facts));
  }
}
