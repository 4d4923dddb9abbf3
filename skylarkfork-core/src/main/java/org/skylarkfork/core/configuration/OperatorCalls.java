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

/** Takes operators' calls, submits changes and passes questions on to control voters. */
final class OperatorCalls {

  private static final Pattern CHANGE_ID = Pattern.compile("[\\x21-\\x7e]{1,128}");
  private static final String BOOTSTRAP = "bootstrap";
  private static final int MOST_HOPS = 2;
  private static final int MOST_OPEN = 1000;

  private final String node;
  private final ConfigurationSettings settings;
  private final AppliedConfiguration applied;
  private final Submitter submitter;
  private final List<String> voters;
  private final @Nullable ReplicaReader reader;
  private final Map<Long, OpenChange> openChanges = new HashMap<>();
  private final Map<String, Instant> openQuestions = new HashMap<>();
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

  /** A submitted change; its call id is null if a part of this daemon asked for it. */
  private record OpenChange(@Nullable String callId, String changeId) {}

  void called(OperatorEvent call, @Nullable String leader, Instant now, Output output) {
    if (call instanceof OperatorEvent.DryRun || call instanceof OperatorEvent.ControlVmRequested) {
      // Other parts answer these, and the listener has checked the key. Answered here as well, the
      // operator would read that the key is unknown while the other part carries the call out.
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
      ask(call, leader, now, output);
    }
  }

  private static String keyHash(OperatorEvent call) {
    if (call instanceof OperatorEvent.ChangeRequested change) {
      return change.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.ConfigurationRequested wanted) {
      return wanted.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.RevisionRequested wanted) {
      return wanted.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.HistoryRequested wanted) {
      return wanted.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.DifferenceRequested wanted) {
      return wanted.operatorKeyHash();
    }
    if (call instanceof OperatorEvent.InForceRequested wanted) {
      return wanted.operatorKeyHash();
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
    if (openChanges.size() >= MOST_OPEN) {
      output.effect(
          OperatorAnswers.notNow(call.callId(), "too many changes are waiting; send it later"));
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

  void proposed(ChangeProposed proposal, Instant now, Output output) {
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
    openChanges.put(submission, new OpenChange(callId, command.changeId()));
    submitter.submit(
        GroupId.CONFIGURATION, command, submission, now.plus(settings.callTimeout()), now, output);
  }

  void answered(ConsensusEvent.SubmissionAnswered event, Output output) {
    OpenChange open = openChanges.remove(event.submissionId());
    if (open == null) {
      return;
    }
    String callId = open.callId();
    if (callId != null) {
      output.effect(OperatorAnswers.toChange(callId, open.changeId(), event.result()));
    } else {
      log("proposed change " + open.changeId() + ": " + event.result(), output);
    }
  }

  void failed(ConsensusEvent.SubmissionFailed event, Output output) {
    OpenChange open = openChanges.remove(event.submissionId());
    if (open == null) {
      return;
    }
    String callId = open.callId();
    if (callId != null) {
      output.effect(OperatorAnswers.changeLost(callId, event.mayHaveApplied(), event.remedy()));
    } else {
      log("proposed change " + open.changeId() + " got no answer: " + event.remedy(), output);
    }
  }

  private static void log(String sentence, Output output) {
    output.effect(new TraceEffect.LogLine(true, "configuration", sentence));
  }

  private void ask(OperatorEvent call, @Nullable String leader, Instant now, Output output) {
    OperatorEffect answer = reader == null ? null : reader.answer(call, leader == null, now);
    if (answer != null) {
      output.effect(answer);
      return;
    }
    String target = reader == null ? anyVoter() : leader;
    if (target == null || target.equals(node) || openQuestions.size() >= MOST_OPEN) {
      output.effect(
          OperatorAnswers.notNow(call.callId(), "the control group has no leader; ask again"));
      return;
    }
    openQuestions.put(call.callId(), now.plus(settings.callTimeout()));
    output.effect(new PeerEffect.SendToPeer(target, new OperatorCall(node, 0, call)));
  }

  private @Nullable String anyVoter() {
    if (voters.isEmpty()) {
      return null;
    }
    nextVoter = (nextVoter + 1) % voters.size();
    return voters.get(nextVoter);
  }

  /** Answers a question that another daemon passed on, or passes it on to the leader. */
  void passedOn(OperatorCall question, @Nullable String leader, Instant now, Output output) {
    OperatorEvent call = question.call();
    OperatorEffect answer = null;
    if (operator(keyHash(call)) == null) {
      answer = OperatorAnswers.unknownKey(call.callId());
    } else if (reader != null) {
      answer = reader.answer(call, leader == null, now);
    }
    if (answer != null) {
      output.effect(new PeerEffect.SendToPeer(question.origin(), new OperatorAnswer(answer)));
    } else if (leader != null && !leader.equals(node) && question.hops() < MOST_HOPS) {
      OperatorCall next = new OperatorCall(question.origin(), question.hops() + 1, call);
      output.effect(new PeerEffect.SendToPeer(leader, next));
    } else {
      OperatorEffect refusal =
          OperatorAnswers.notNow(call.callId(), "the control group has no leader; ask again");
      output.effect(new PeerEffect.SendToPeer(question.origin(), new OperatorAnswer(refusal)));
    }
  }

  void answerArrived(OperatorAnswer message, Output output) {
    if (openQuestions.remove(message.answer().callId()) != null) {
      output.effect(message.answer());
    }
  }

  /** Gives up questions that nobody answered. */
  void tick(Instant now, Output output) {
    if (openQuestions.isEmpty()) {
      return;
    }
    List<String> late = new ArrayList<>();
    Iterator<Map.Entry<String, Instant>> open = openQuestions.entrySet().iterator();
    while (open.hasNext()) {
      Map.Entry<String, Instant> question = open.next();
      if (!now.isBefore(question.getValue())) {
        late.add(question.getKey());
        open.remove();
      }
    }
    late.sort(null);
    for (String callId : late) {
      output.effect(OperatorAnswers.notNow(callId, "no control VM answered in time; ask again"));
    }
  }
}
