package org.skylarkfork.core.relay;

import java.util.List;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.crash.CrashReviewers;
import org.skylarkfork.core.effect.PeerEffect.SendToPeer;
import org.skylarkfork.core.message.CrashMessage;

/** The control VM that leads judges which requests end their upstreams. */
final class LeaderCrashReviewers implements CrashReviewers {

  private final RelayView view;

  LeaderCrashReviewers(RelayView view) {
    this.view = view;
  }

  @Override
  public List<String> peers() {
    String leader = view.leader();
    return leader == null ? List.of() : List.of(leader);
  }

  @Override
  public void report(CrashMessage message, Output output) {
    peers().forEach(peer -> output.effect(new SendToPeer(peer, message)));
  }
}
