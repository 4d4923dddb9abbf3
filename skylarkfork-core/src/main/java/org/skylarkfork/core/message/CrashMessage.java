package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.upstream.UpstreamRun;

/** What entries tell those that judge which requests end their upstreams. */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * An upstream ended while it ran requests of an entry.
   *
   * @param upstream the start of the upstream that ended
   * @param lost the requests that were lost there
   */
  record UpstreamEnded(UpstreamRun upstream, List<LostRequest> lost) implements CrashMessage {

    /** Copies the list. */
    public UpstreamEnded {
      lost = List.copyOf(lost);
    }
  }

  /**
   * A request that was lost as its upstream ended.
   *
   * @param key what it has in common with the same request sent again
   * @param sentMillis time since its attempt was sent, in milliseconds
   * @param lostMillis time since it was lost, in milliseconds
   */
  record LostRequest(RequestKey key, int sentMillis, int lostMillis) {}

  /**
   * A request was answered whole that had been told as lost.
   *
   * @param key what it has in common with the same request sent again
   */
  record RequestServed(RequestKey key) implements CrashMessage {}
}
