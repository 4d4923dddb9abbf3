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

/** Brings this daemon's commands to the groups' leaders and their results back. */
final class SubmissionClient implements Submitter {

  /** Wait before the next try when a voter knows another leader; bounds a loop of redirects. */
  private static final Duration REDIRECT_PAUSE = Duration.ofMillis(20);

  /** Wait before the next try when a voter knows no leader. */
  private static final Duration LEADERLESS_PAUSE = Duration.ofMillis(100);

  private final String node;
  private final long session;
  private final RaftSettings settings;
  private final Map<GroupId, List<String>> voters = new HashMap<>();
  private final Map<GroupId, String> leaders = new HashMap<>();
  private final Map<Long, Submission> waiting = new LinkedHashMap<>();
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
    Turn turn = new Turn(node, now, output);
    if (voters.getOrDefault(group, List.of()).isEmpty()) {
      fail(group, submissionId, false, "raft: name the voters of " + group + " in settings", turn);
      return;
    }
    if (waiting.size() >= settings.maxPendingSubmissions()) {
      fail(group, submissionId, false, "raft: too many submissions wait; submit later", turn);
      return;
    }
    Submission submission = new Submission(group, command, submissionId, deadline);
    waiting.put(submissionId, submission);
    send(submission, turn);
  }

  private void send(Submission submission, Turn turn) {
    String leader = leaders.get(submission.group);
    List<String> others = voters.get(submission.group);
    String target = leader;
    if (target == null) {
      target = others.get(submission.tries % others.size());
    }
    submission.tries++;
    submission.target = target;
    submission.nextTry = turn.now().plus(settings.resendInterval());
    turn.send(
        target,
        new SubmitRequest(submission.group, session, submission.submissionId, submission.command));
  }

  /** Sends again what is due and gives up what is too late. */
  void tick(Turn turn) {
    if (waiting.isEmpty()) {
      return;
    }
    for (Submission submission : new ArrayList<>(waiting.values())) {
      if (!turn.now().isBefore(submission.deadline)) {
        waiting.remove(submission.submissionId);
        String remedy = "raft: no result in time; submit again under the same key";
        fail(submission.group, submission.submissionId, true, remedy, turn);
      } else if (!turn.now().isBefore(submission.nextTry)) {
        retry(submission, turn);
      }
    }
  }

  private void retry(Submission submission, Turn turn) {
    if (!submission.redirected) {
      leaders.remove(submission.group, submission.target);
    }
    submission.redirected = false;
    send(submission, turn);
  }

  /** Remembers the leader that this daemon's own replica has found. */
  void leaderChanged(ConsensusEvent.LeaderChanged change) {
    if (change.node() == null) {
      leaders.remove(change.group());
    } else {
      leaders.put(change.group(), change.node());
    }
  }

  void onMessage(String from, RaftMessage message, Turn turn) {
    if (message instanceof SubmitAnswer answer && answer.session() == session) {
      onAnswer(from, answer, turn);
    } else if (message instanceof SubmitRefusal refusal && refusal.session() == session) {
      onRefusal(refusal, turn);
    } else if (message instanceof SubmitRedirect redirect && redirect.session() == session) {
      onRedirect(from, redirect, turn);
    }
  }

  private void onAnswer(String from, SubmitAnswer answer, Turn turn) {
    Submission submission = waiting.remove(answer.submissionId());
    if (submission == null) {
      return;
    }
    leaders.put(submission.group, from);
    turn.raise(
        new ConsensusEvent.SubmissionAnswered(
            submission.group, submission.submissionId, answer.result()));
  }

  private void onRefusal(SubmitRefusal refusal, Turn turn) {
    Submission submission = waiting.remove(refusal.submissionId());
    if (submission == null) {
      return;
    }
    boolean sentBefore = submission.tries > 1;
    fail(submission.group, submission.submissionId, sentBefore, refusal.remedy(), turn);
  }

  private void onRedirect(String from, SubmitRedirect redirect, Turn turn) {
    Submission submission = waiting.get(redirect.submissionId());
    if (submission == null || !from.equals(submission.target)) {
      return;
    }
    String leader = redirect.leader();
    boolean known = leader != null && !leader.equals(from);
    if (known) {
      leaders.put(submission.group, leader);
    } else {
      leaders.remove(submission.group, from);
    }
    submission.redirected = true;
    submission.nextTry = turn.now().plus(known ? REDIRECT_PAUSE : LEADERLESS_PAUSE);
  }

  private void fail(
      GroupId group, long submissionId, boolean mayHaveApplied, String remedy, Turn turn) {
    turn.raise(new ConsensusEvent.SubmissionFailed(group, submissionId, mayHaveApplied, remedy));
  }

  private static final class Submission {
    private final GroupId group;
    private final Command command;
    private final long submissionId;
    private final Instant deadline;
    private @Nullable String target;
    private Instant nextTry = Instant.EPOCH;
    private int tries;
    private boolean redirected;

    private Submission(GroupId group, Command command, long submissionId, Instant deadline) {
      this.group = group;
      this.command = command;
      this.submissionId = submissionId;
      this.deadline = deadline;
    }
  }
}
