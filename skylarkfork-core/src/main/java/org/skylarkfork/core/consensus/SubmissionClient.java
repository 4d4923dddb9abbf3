package org.skylarkfork.core.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.command.Command;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.event.ConsensusEvent;
import org.skylarkfork.core.message.RaftMessage;
import org.skylarkfork.core.message.RaftMessage.SubmitAnswer;
import org.skylarkfork.core.message.RaftMessage.SubmitRedirect;
import org.skylarkfork.core.message.RaftMessage.SubmitRefusal;
import org.skylarkfork.core.message.RaftMessage.SubmitRequest;

/** Sends this daemon's commands to the groups' leaders and receives the results. */
final class SubmissionClient implements Submitter {

  /** Delay before the next attempt when a voter names another leader; limits redirect loops. */
  private static final Duration REDIRECT_DELAY = Duration.ofMillis(20);

  /** Delay before the next attempt when a voter knows no leader. */
  private static final Duration NO_LEADER_DELAY = Duration.ofMillis(100);

  private final String node;
  private final long session;
  private final RaftSettings settings;
  private final Map<GroupId, List<String>> voters = new HashMap<>();
  private final Map<GroupId, String> leaders = new HashMap<>();
  private final Map<Long, Submission> pending = new LinkedHashMap<>();
  private long lastSubmissionId;

  SubmissionClient(String node, long session, List<GroupSetup> groups, RaftSettings settings) {
    this.node = node;
    this.session = session;
    this.settings = settings;
    for (GroupSetup setup : groups) {
      voters.put(setup.group(), setup.initialVoters());
    }
  }

  @Override
  public long newSubmissionId() {
    lastSubmissionId++;
    return lastSubmissionId;
  }

  @Override
  public void submit(
      GroupId group,
      Command command,
      long submissionId,
      Instant deadline,
      Instant now,
      Output output) {
    EventContext context = new EventContext(node, now, output);
    if (voters.getOrDefault(group, List.of()).isEmpty()) {
      fail(
          group,
          submissionId,
          false,
          "raft: name the voters of " + group + " in settings",
          context);
      return;
    }
    if (pending.size() >= settings.limits().maxPendingSubmissions()) {
      fail(group, submissionId, false, "raft: too many submissions wait; submit later", context);
      return;
    }
    Submission submission = new Submission(group, command, submissionId, deadline);
    pending.put(submissionId, submission);
    send(submission, context);
  }

  private void send(Submission submission, EventContext context) {
    String leader = leaders.get(submission.group);
    List<String> groupVoters = voters.get(submission.group);
    String target = leader;
    if (target == null) {
      target = groupVoters.get(submission.attempts % groupVoters.size());
    }
    submission.attempts++;
    submission.target = target;
    submission.nextAttemptAt = context.now().plus(settings.timeouts().resendInterval());
    context.send(
        target,
        new SubmitRequest(submission.group, session, submission.submissionId, submission.command));
  }

  /** Resends submissions that are due and fails those past their deadline. */
  void tick(EventContext context) {
    if (pending.isEmpty()) {
      return;
    }
    for (Submission submission : new ArrayList<>(pending.values())) {
      if (!context.now().isBefore(submission.deadline)) {
        pending.remove(submission.submissionId);
        String remedy = "raft: no result in time; submit again under the same key";
        fail(submission.group, submission.submissionId, true, remedy, context);
      } else if (!context.now().isBefore(submission.nextAttemptAt)) {
        retry(submission, context);
      }
    }
  }

  private void retry(Submission submission, EventContext context) {
    if (!submission.redirected) {
      leaders.remove(submission.group, submission.target);
    }
    submission.redirected = false;
    send(submission, context);
  }

  /** Records the leader that this daemon's own replica reported. */
  void leaderChanged(ConsensusEvent.LeaderChanged change) {
    if (change.node() == null) {
      leaders.remove(change.group());
    } else {
      leaders.put(change.group(), change.node());
    }
  }

  void onMessage(String from, RaftMessage message, EventContext context) {
    if (message instanceof SubmitAnswer answer && answer.session() == session) {
      onAnswer(from, answer, context);
    } else if (message instanceof SubmitRefusal refusal && refusal.session() == session) {
      onRefusal(refusal, context);
    } else if (message instanceof SubmitRedirect redirect && redirect.session() == session) {
      onRedirect(from, redirect, context);
    }
  }

  private void onAnswer(String from, SubmitAnswer answer, EventContext context) {
    Submission submission = pending.remove(answer.submissionId());
    if (submission == null) {
      return;
    }
    leaders.put(submission.group, from);
    context.raise(
        new ConsensusEvent.SubmissionAnswered(
            submission.group, submission.submissionId, answer.result()));
  }

  private void onRefusal(SubmitRefusal refusal, EventContext context) {
    Submission submission = pending.remove(refusal.submissionId());
    if (submission == null) {
      return;
    }
    boolean sentBefore = submission.attempts > 1;
    fail(submission.group, submission.submissionId, sentBefore, refusal.remedy(), context);
  }

  private void onRedirect(String from, SubmitRedirect redirect, EventContext context) {
    Submission submission = pending.get(redirect.submissionId());
    if (submission == null || !from.equals(submission.target)) {
      return;
    }
    String leader = redirect.leader();
    boolean leaderKnown = leader != null && !leader.equals(from);
    if (leaderKnown) {
      leaders.put(submission.group, leader);
    } else {
      leaders.remove(submission.group, from);
    }
    submission.redirected = true;
    submission.nextAttemptAt = context.now().plus(leaderKnown ? REDIRECT_DELAY : NO_LEADER_DELAY);
  }

  private void fail(
      GroupId group,
      long submissionId,
      boolean mayHaveApplied,
      String remedy,
      EventContext context) {
    context.raise(new ConsensusEvent.SubmissionFailed(group, submissionId, mayHaveApplied, remedy));
  }

  private static final class Submission {
    private final GroupId group;
    private final Command command;
    private final long submissionId;
    private final Instant deadline;
    private @Nullable String target;
    private Instant nextAttemptAt = Instant.EPOCH;
    private int attempts;
    private boolean redirected;

    private Submission(GroupId group, Command command, long submissionId, Instant deadline) {
      this.group = group;
      this.command = command;
      this.submissionId = submissionId;
      this.deadline = deadline;
    }
  }
}
