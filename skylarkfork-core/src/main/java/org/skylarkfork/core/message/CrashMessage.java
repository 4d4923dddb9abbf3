package org.skylarkfork.core.message;

import java.util.List;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.upstream.UpstreamRun;

/**
 * Reports of entries to the crash reviewers, which determine the requests that crash the upstreams
 * that run them.
 */
public sealed interface CrashMessage extends PeerMessage {

  /**
   * Reports that an upstream ended while it ran requests of the sending entry.
   *
   * @param upstream the run of the upstream that ended
   * @param lost the sender's requests that were lost with it
   */
  record UpstreamEnded(UpstreamRun upstream, List<LostRequest> lost) implements CrashMessage {

    /** Copies the list. */
    public UpstreamEnded {
      lost = List.copyOf(lost);
    }
  }

  /**
   * A request that was lost when its upstream ended.
   *
   * @param key key that identifies the request across resends
   * @param sentMillis time since the attempt was sent to the upstream, in milliseconds
   * @param lostMillis time since the request was lost, in milliseconds
   */
  record LostRequest(RequestKey key, int sentMillis, int lostMillis) {}

  /**
   * Reports that a request received its complete answer after it had been reported as lost.
   *
   * @param key key that identifies the request across resends
   */
  record RequestServed(RequestKey key) implements CrashMessage {}
}
