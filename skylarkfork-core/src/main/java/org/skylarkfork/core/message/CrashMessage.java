package org.skylarkfork.core.message;

import java.util.List;
import java.util.Objects;
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
   * @param service service of the upstream; empty if the sender is older
   */
  record UpstreamEnded(UpstreamRun upstream, List<LostRequest> lost, String service)
      implements CrashMessage {

    /** Copies the list. */
    public UpstreamEnded {
      lost = List.copyOf(lost);
      service = Objects.requireNonNullElse(service, "");
    }
  }

  /**
   * A request that was lost when its upstream ended.
   *
   * @param key key that identifies the request across resends
   * @param sentMillis time since the attempt was sent to the upstream, in milliseconds
   * @param lostMillis time since the request was lost, in milliseconds
   * @param parts hashes of the parts of its prompt
   */
  record LostRequest(RequestKey key, int sentMillis, int lostMillis, List<Long> parts) {

    /** Copies the list. */
    public LostRequest {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Reports that a request received its complete answer after it had been reported as lost.
   *
   * @param key key that identifies the request across resends
   */
  record RequestServed(RequestKey key) implements CrashMessage {}

  /**
   * Asks an entry what it observed of requests with parts that may crash upstreams.
   *
   * @param parts the parts
   */
  record PartsSuspected(List<SuspectedPart> parts) implements CrashMessage {

    /** Copies the list. */
    public PartsSuspected {
      parts = List.copyOf(parts);
    }
  }

  /**
   * A part that may crash upstreams.
   *
   * @param key key of the part, within a team or for all teams
   * @param service service of the upstreams that ended; empty if unknown
   * @param sinceMillis time since the first of these ends, in milliseconds
   */
  record SuspectedPart(RequestKey key, String service, int sinceMillis) {}

  /**
   * Answers {@link PartsSuspected}.
   *
   * @param parts what the entry observed of each part
   */
  record PartsObserved(List<ObservedPart> parts) implements CrashMessage {

    /** Copies the list. */
    public PartsObserved {
      parts = List.copyOf(parts);
    }
  }

  /**
   * What an entry observed of requests with a part.
   *
   * @param key key of the part
   * @param servedMillis time since a request with the part was answered completely, in
   *     milliseconds; negative if the entry knows of none
   * @param answering whether an upstream has processed a request with the part for a while
   * @param otherAnswers complete answers of the service to requests without the part since the
   *     first suspected end
   */
  record ObservedPart(RequestKey key, int servedMillis, boolean answering, int otherAnswers) {

    /** Returns whether the entry knows of a complete answer. */
    public boolean wasServed() {
      return servedMillis >= 0;
    }
  }
}
