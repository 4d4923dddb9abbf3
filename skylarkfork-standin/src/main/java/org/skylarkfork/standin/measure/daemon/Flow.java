package org.skylarkfork.standin.measure.daemon;

import java.time.Duration;

/**
 * A stream of requests of one kind.
 *
 * @param kind what is asked for
 * @param perSecond mean number of requests a second
 * @param begin first second
 * @param end second after the last
 * @param burst whether it belongs to a burst
 * @param deadline how long callers wait
 */
record Flow(Kind kind, double perSecond, int begin, int end, boolean burst, Duration deadline) {

  /** What a request asks for. */
  enum Kind {
    /** A draft without a session. */
    DRAFT,
    /** A streamed draft of a session. */
    SESSION_DRAFT,
    /** An idempotent call. */
    LOOKUP,
    /** A call that runs at most once. */
    ISSUE
  }
}
