package org.skylarkfork.core.consensus;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.message.RaftMessage.SubmitAnswer;
import org.skylarkfork.core.message.RaftMessage.SubmitRedirect;
import org.skylarkfork.core.message.RaftMessage.SubmitRequest;

/** Submissions that the leader has appended and not yet answered. */
final class Proposals {

  private final Replica replica;
  private final Map<Long, Submission> submissionsByIndex = new HashMap<>();
  private final Set<Submission> pendingSubmissions = new HashSet<>();
  private long uncommittedBytes;

  Proposals(Replica replica) {
    this.replica = replica;
  }

  /** Returns whether the submission was appended and is not yet answered. */
  boolean isPending(String from, SubmitRequest request) {
    return pendingSubmissions.contains(Submission.of(from, request));
  }

  /** Returns why no further entry can be accepted, or null if one can. */
  @Nullable String overloadReason() {
    RaftSettings settings = replica.settings;
    long entries = replica.log.lastIndex() - replica.commitIndex();
    if (entries >= settings.limits().maxUncommittedEntries()
        || uncommittedBytes >= settings.limits().maxUncommittedBytes()) {
      return "raft: " + replica.group + " is behind with its commits; submit again later";
    }
    return null;
  }

  void appended(String from, SubmitRequest request, long index) {
    Submission submission = Submission.of(from, request);
    submissionsByIndex.put(index, submission);
    pendingSubmissions.add(submission);
    uncommittedBytes += replica.log.sizeAt(index);
  }

  void applied(long index, CommandResult result, EventContext context) {
    Submission submission = submissionsByIndex.remove(index);
    if (submission == null) {
      return;
    }
    pendingSubmissions.remove(submission);
    uncommittedBytes -= replica.log.sizeAt(index);
    context.send(
        submission.node,
        new SubmitAnswer(replica.group, submission.session, submission.submissionId, result));
  }

  /** Redirects all pending submitters to the next leader, which may still commit the entries. */
  void redirectAll(EventContext context) {
    for (Submission submission : submissionsByIndex.values()) {
      context.send(
          submission.node,
          new SubmitRedirect(
              replica.group, submission.session, submission.submissionId, replica.leader()));
    }
    submissionsByIndex.clear();
    pendingSubmissions.clear();
    uncommittedBytes = 0;
  }

  private record Submission(String node, long session, long submissionId) {
    private static Submission of(String from, SubmitRequest request) {
      return new Submission(from, request.session(), request.submissionId());
    }
  }
}
