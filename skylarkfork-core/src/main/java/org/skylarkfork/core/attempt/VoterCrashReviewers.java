package org.skylarkfork.core.attempt;

import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.CrashReviewers;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.message.CrashMessage;

/**
 * All voters of the configuration's group are told of requests that were lost, and the one that
 * leads judges: the next leader then knows as much.
 */
public final class VoterCrashReviewers implements CrashReviewers {

  private final String self;
  private final List<String> voters;

  /**
   * Makes the judges.
   *
   * @param self name of this daemon, which may be a voter
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
