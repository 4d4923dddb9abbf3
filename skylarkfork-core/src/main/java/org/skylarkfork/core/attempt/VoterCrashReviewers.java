package org.skylarkfork.core.attempt;

import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.CrashReviewers;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.CrashMessage;

/**
 * Reports lost requests to all voters of the configuration group. Only the leader proposes
 * quarantines; the other voters receive the reports so that the next leader has the same data.
 */
public final class VoterCrashReviewers implements CrashReviewers {

  private final String self;
  private final List<String> voters;

  /**
   * Creates the reviewers.
   *
   * @param self name of this daemon, which may itself be a voter
   * @param voters names of the voters
   */
  public VoterCrashReviewers(String self, List<String> voters) {
    this.self = self;
    this.voters = List.copyOf(voters);
  }

  @Override
  public List<String> peers() {
    return voters;
  }

  @Override
  public void report(CrashMessage message, Output output) {
    for (String voter : voters) {
      if (voter.equals(self)) {
        output.raise(new PeerEvent.MessageReceived(self, message));
      } else {
        output.effect(new SendToPeer(voter, message));
      }
    }
  }
}
