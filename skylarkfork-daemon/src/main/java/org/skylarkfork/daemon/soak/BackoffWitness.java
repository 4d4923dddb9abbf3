package org.skylarkfork.daemon.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Records the backoffs for which upstreams ask entries, and the requests that come within them. */
final class BackoffWitness {

  /**
   * Time after an upstream's answer in which requests are not counted. A process that gets little
   * of a processor reads an answer that late.
   */
  private static final Duration REACTION_TIME = Duration.ofMillis(1500);

  /** Number of requests within a backoff that are tolerated. */
  private static final int TOLERATED = 2;

  private final List<Backoff> backoffs = new ArrayList<>();
  private final List<String> findings = new ArrayList<>();

  /** A backoff for which an upstream has asked an entry. */
  private static final class Backoff {
    private final int upstream;
    private final String entry;
    private final Instant askedAt;
    private final Instant until;
    private int requests;

    private Backoff(int upstream, String entry, Instant askedAt, Instant until) {
      this.upstream = upstream;
      this.entry = entry;
      this.askedAt = askedAt;
      this.until = until;
    }

    private boolean covers(Instant now) {
      return now.isAfter(askedAt.plus(REACTION_TIME)) && now.isBefore(until);
    }
  }

  /**
   * Returns the name of the entry to which the caller has sent a request.
   *
   * @param id id of the request, which begins with that name
   */
  static String entryOf(String id) {
    return id.substring(0, id.lastIndexOf('-', id.lastIndexOf('-') - 1));
  }

  /** Records that an upstream asks an entry for a backoff. */
  synchronized void onAsked(int upstream, String entry, Instant now, Duration time) {
    backoffs.removeIf(backoff -> backoff.until.isBefore(now));
    backoffs.add(new Backoff(upstream, entry, now, now.plus(time)));
  }

  /** Records that a request has reached an upstream. */
  synchronized void onRequest(int upstream, String id, Instant now) {
    String entry = entryOf(id);
    for (Backoff backoff : backoffs) {
      boolean matches = backoff.upstream == upstream && backoff.entry.equals(entry);
      if (matches && backoff.covers(now) && ++backoff.requests > TOLERATED) {
        findings.add(
            entry
                + " sent "
                + id
                + " to up-"
                + upstream
                + " within its backoff, the third request");
      }
    }
  }

  /** Forgets the backoffs of an entry that is stopped, paused, started or resumed. */
  synchronized void onEntryDisturbed(String entry) {
    backoffs.removeIf(backoff -> backoff.entry.equals(entry));
  }

  /** Forgets the backoffs of an upstream whose connections are disturbed. */
  synchronized void onUpstreamDisturbed(int upstream) {
    backoffs.removeIf(backoff -> backoff.upstream == upstream);
  }

  /** Returns a finding for each request beyond those that are tolerated. */
  synchronized List<String> findings() {
    return List.copyOf(findings);
  }
}
