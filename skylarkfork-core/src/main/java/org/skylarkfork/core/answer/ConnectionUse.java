package org.skylarkfork.core.answer;

/**
 * The use of an attempt's connection up to its answer.
 *
 * @param number number of the connection among those to its upstream over the same links, from 1; 0
 *     if there was none
 * @param requestsBefore number of requests that the connection had carried before
 * @param sameIdBefore whether one of them is known to have had the id of the attempt's request
 * @param skippedAnswers number of answers to other requests that were skipped on the connection
 */
public record ConnectionUse(
    long number, int requestsBefore, boolean sameIdBefore, int skippedAnswers) {

  /** There was no connection. */
  public static final ConnectionUse NONE = new ConnectionUse(0, 0, false, 0);

  /** Returns the components as {@code key=value} pairs for a log line. */
  public String facts() {
    return "connection_number="
        + number
        + " requests_before="
        + requestsBefore
        + " same_id_before="
        + sameIdBefore
        + " skipped_answers="
        + skippedAnswers;
  }
}
