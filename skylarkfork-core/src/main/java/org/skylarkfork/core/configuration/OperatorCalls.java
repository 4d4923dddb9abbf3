package org.skylarkfork.core.configuration;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.event.ConfigurationEvent.ChangeProposed;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.core.message.ConfigurationMessage.OperatorAnswer;
import org.skylarkfork.core.message.ConfigurationMessage.OperatorCall;

/** Handles operators' calls: submits changes and forwards queries to control voters. */
final class OperatorCalls {

  private static final Pattern CHANGE_ID = Pattern.compile("[\\x21-\\x7e]{1,128}");
  private static final String BOOTSTRAP = "bootstrap";
  private static final int MAX_HOPS = 2;
  private static final int MAX_PENDING = 1000;

  private final String node;
  private final ConfigurationSettings settings;
  private final AppliedConfiguration applied;
  private final Submitter submitter;
  private final List<String> voters;
  private final @Nullable ReplicaReader reader;
  private final Map<Long, PendingChange> pendingChanges = new HashMap<>();
  private final Map<String, Instant> pendingQueries = new HashMap<>();
  private int nextVoter;

  OperatorCalls(
      String node,
      ConfigurationSettings settings,
      AppliedConfiguration applied,
      Submitter submitter,
      List<String> voters,
      @Nullable ReplicaReader reader) {
    this.node = node;
    this.settings = settings;
    this.applied = applied;
    this.submitter = submitter;
    this.voters = List.copyOf(voters);
    this.reader = reader;
  }

  /** A submitted change; the call id is null if a part of this daemon proposed the change. */
  private record PendingChange(@Nullable String callId, String changeId) {}

  void callReceived(OperatorEvent call, @Nullable String leader, Instant now, Output output) {
    if (call instanceof OperatorEvent.DryRun || call instanceof OperatorEvent.ControlVmRequested) {
      // Other parts answer these calls, and the listener has checked the key. An answer from this
      // part as well would report an unknown key to the operator while the other part executes the
      // call.
      return;
    }
    String operator = operator(keyHash(call));
    if (operator == null) {
      output.effect(OperatorAnswers.unknownKey(call.callId()));
    } else if (call instanceof OperatorEvent.ChangeRequested change) {
      change(change, operator, now, output);
    } else if (call instanceof OperatorEvent.ConfigurationRequested) {
      output.effect(new OperatorEffect.SendConfiguration(call.callId(), applied.current()));
    } else {
      query(call, leader, now, output);
    }
  }

  private static String keyHash(OperatorEvent call) {
    if (call instanceof OperatorEvent.ChangeRequested change) {
      return change.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.ConfigurationRequested requested) {
      return requested.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.RevisionRequested requested) {
      return requested.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.HistoryRequested requested) {
      return requested.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.DifferenceRequested requested) {
      return requested.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.InForceRequested requested) {
      return requested.operatorKeyHash();
    }
    return "";
  }

  private @Nullable String operator(String keyHash) {
    List<OperatorKey> keys = applied.current().operatorKeys();
    for (OperatorKey key : keys) {
      if (key.sha256().equals(keyHash)) {
        return key.id();
      }
    }
    return keys.isEmpty() && keyHash.equals(settings.bootstrapKeyHash()) ? BOOTSTRAP : null;
  }

  private void change(
      OperatorEvent.ChangeRequested call, String operator, Instant now, Output output) {
    if (!CHANGE_ID.matcher(call.changeId()).matches()) {
      output.effect(
          OperatorAnswers.refuse(
              call.callId(),
              ErrorKind.BAD_REQUEST,
              "the change id is malformed; use 1 to 128 printable ASCII characters"));
      return;
    }
    List<ConfigurationProblem> missing = MissingValues.problems(call.change());
    if (!missing.isEmpty()) {
      output.effect(OperatorAnswers.invalid(call.callId(), missing));
      return;
    }
    if (pendingChanges.size() >= MAX_PENDING) {
      output.effect(
          OperatorAnswers.retryLater(call.callId(), "too many changes are waiting; send it later"));
      return;
    }
    SubmitChange command =
        new SubmitChange(
            call.changeId(),
            operator,
            call.operatorKeyHash(),
            call.expectedRevision(),
            call.change(),
            bodyHash(call.change(), call.expectedRevision()));
    submit(command, call.callId(), now, output);
  }

  private static String bodyHash(ConfigurationChange change, @Nullable Long expectedRevision) {
    return Sha256.hex(change + "|" + expectedRevision);
  }

  void changeProposed(ChangeProposed proposal, Instant now, Output output) {
    SubmitChange command =
        new SubmitChange(
            proposal.changeId(),
            proposal.proposer(),
            null,
            null,
            proposal.change(),
            bodyHash(proposal.change(), null));
    submit(command, null, now, output);
  }

  private void submit(SubmitChange command, @Nullable String callId, Instant now, Output output) {
    long submission = submitter.newSubmissionId();
    pendingChanges.put(submission, new PendingChange(callId, command.changeId()));
    submitter.submit(
        GroupId.CONFIGURATION, command, submission, now.plus(settings.callTimeout()), now, output);
  }

  void submissionAnswered(ConsensusEvent.SubmissionAnswered event, Output output) {
    PendingChange pending = pendingChanges.remove(event.submissionId());
    if (pending == null) {
      return;
    }
    String callId = pending.callId();
    if (callId != null) {
      output.effect(OperatorAnswers.forChange(callId, pending.changeId(), event.result()));
    } else {
      log("proposed change " + pending.changeId() + ": " + event.result(), output);
    }
  }

  void submissionFailed(ConsensusEvent.SubmissionFailed event, Output output) {
    PendingChange pending = pendingChanges.remove(event.submissionId());
    if (pending == null) {
      return;
    }
    String callId = pending.callId();
    if (callId != null) {
      output.effect(
          OperatorAnswers.changeUnanswered(callId, event.mayHaveApplied(), event.remedy()));
    } else {
      log(
          "proposed change " + pending.changeId() + " received no answer: " + event.remedy(),
          output);
    }
  }

  private static void log(String sentence, Output output) {
    output.effect(new TraceEffect.LogLine(true, "configuration", sentence));
  }

  private void query(OperatorEvent call, @Nullable String leader, Instant now, Output output) {
    OperatorEffect answer = reader == null ? null : reader.answer(call, leader == null, now);
    if (answer != null) {
      output.effect(answer);
      return;
    }
    String target = reader == null ? anyVoter() : leader;
    if (target == null || target.equals(node) || pendingQueries.size() >= MAX_PENDING) {
      output.effect(
          OperatorAnswers.retryLater(call.callId(), "the control group has no leader; ask again"));
      return;
    }
    pendingQueries.put(call.callId(), now.plus(settings.callTimeout()));
    output.effect(new PeerEffect.SendToPeer(target, new OperatorCall(node, 0, call)));
  }

  private @Nullable String anyVoter() {
    if (voters.isEmpty()) {
      return null;
    }
    nextVoter = (nextVoter + 1) % voters.size();
    return voters.get(nextVoter);
  }

  /** Answers a query forwarded by another daemon, or forwards it to the leader. */
  void callForwarded(OperatorCall query, @Nullable String leader, Instant now, Output output) {
    OperatorEvent call = query.call();
    OperatorEffect answer = null;
    if (operator(keyHash(call)) == null) {
      answer = OperatorAnswers.unknownKey(call.callId());
    } else if (reader != null) {
      answer = reader.answer(call, leader == null, now);
    }
    if (answer != null) {
      output.effect(new PeerEffect.SendToPeer(query.origin(), new OperatorAnswer(answer)));
    } else if (leader != null && !leader.equals(node) && query.hops() < MAX_HOPS) {
      OperatorCall forwarded = new OperatorCall(query.origin(), query.hops() + 1, call);
      output.effect(new PeerEffect.SendToPeer(leader, forwarded));
    } else {
      OperatorEffect refusal =
          OperatorAnswers.retryLater(call.callId(), "the control group has no leader; ask again");
      output.effect(new PeerEffect.SendToPeer(query.origin(), new OperatorAnswer(refusal)));
    }
  }

  void answerReceived(OperatorAnswer message, Output output) {
    if (pendingQueries.remove(message.answer().callId()) != null) {
      output.effect(message.answer());
    }
  }

  /** Answers queries that timed out with a refusal. */
  void tick(Instant now, Output output) {
    if (pendingQueries.isEmpty()) {
      return;
    }
    List<String> expired = new ArrayList<>();
    Iterator<Map.Entry<String, Instant>> pending = pendingQueries.entrySet().iterator();
    while (pending.hasNext()) {
      Map.Entry<String, Instant> query = pending.next();
      if (!now.isBefore(query.getValue())) {
        expired.add(query.getKey());
        pending.remove();
      }
    }
    expired.sort(null);
    for (String callId : expired) {
      output.effect(
          OperatorAnswers.retryLater(callId, "no control VM answered in time; ask again"));
    }
  }
}
