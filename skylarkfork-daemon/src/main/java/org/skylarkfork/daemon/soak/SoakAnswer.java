package org.skylarkfork.daemon.soak;

import java.time.Instant;
import java.util.List;

/**
 * How one request of a caller ended.
 *
 * @param id its id, of which there is only one
 * @param kind which of the three kinds it is
 * @param key the key that it carried
 * @param entry number of the entry
 * @param sentAt when its last byte was sent
 * @param endedAt when it ended
 * @param status status of its answer; 0 if the connection ended before one
 * @param whole whether a success came whole and was its own
 * @param detail what was wrong with it, or the empty text
 * @param marks the different marks of runs in its body
 */
record SoakAnswer(
    String id,
    Kind kind,
    String key,
    int entry,
    Instant sentAt,
    Instant endedAt,
    int status,
    boolean whole,
    String detail,
    List<RunMark> marks) {

  /** Copies the marks. */
  SoakAnswer {
    marks = List.copyOf(marks);
  }

  /** Kinds of requests, by what they allow. */
  enum Kind {
    /** May run more than once. */
    LOOKUP("/lookup/"),
    /** May run at most once. */
    BOOKING("/book/"),
    /** A stream that may be resumed. */
    STREAM("/stream/");

    final String path;

    Kind(String path) {
      this.path = path;
    }
  }

  /** Returns whether the entry promised that the request has not run. */
  boolean saysNotRun() {
    return status == 503 || status == 429 || status == 408 || status == 421;
  }
}
