package org.skylarkfork.core.answer;

/**
 * What an attempt has received of its upstream's answer.
 *
 * <p>This is the one place that decides whether an answer is whole. What its caller is sent claims
 * to be whole, so that an answer whose end isn't known must not count as such.
 *
 * @param framing how the answer marks its end
 * @param endReached whether the end that the framing marks was received
 * @param bytes number of bytes of the body that were received
 * @param events number of whole events of an event stream; 0 for other answers
 * @param unfinishedBytes number of bytes at the end of an event stream that belong to an event
 *     without its end; 0 for other answers
 * @param connectionEnd how the connection ended
 * @param use the use of the connection
 */
public record ReceivedAnswer(
    AnswerFraming framing,
    boolean endReached,
    long bytes,
    long events,
    int unfinishedBytes,
    ConnectionEnd connectionEnd,
    ConnectionUse use) {

  /** Nothing was received. */
  public static final ReceivedAnswer NOTHING =
      new ReceivedAnswer(AnswerFraming.NO_HEAD, false, 0, 0, 0, ConnectionEnd.OPEN);

  /** Creates the answer on a connection of which nothing is known. */
  public ReceivedAnswer(
      AnswerFraming framing,
      boolean endReached,
      long bytes,
      long events,
      int unfinishedBytes,
      ConnectionEnd connectionEnd) {
    this(framing, endReached, bytes, events, unfinishedBytes, connectionEnd, ConnectionUse.NONE);
  }

  /** Returns whether the answer is whole, or why it isn't. */
  public AnswerEnd end() {
    if (framing == AnswerFraming.NO_HEAD) {
      return AnswerEnd.NO_ANSWER;
    }
    if (framing == AnswerFraming.CONNECTION && connectionEnd != ConnectionEnd.CLOSED_BY_UPSTREAM) {
      return AnswerEnd.CONNECTION_LOST;
    }
    if (!endReached) {
      return AnswerEnd.BODY_CUT;
    }
    return unfinishedBytes > 0 ? AnswerEnd.EVENT_CUT : AnswerEnd.WHOLE;
  }

  /** Returns whether the answer is whole. */
  public boolean isWhole() {
    return end() == AnswerEnd.WHOLE;
  }

  /** Returns the components as {@code key=value} pairs for a log line. */
  public String facts() {
    return "framing="
        + framing
        + " end="
        + end()
        + " bytes="
        + bytes
        + " events="
        + events
        + " unfinished_bytes="
        + unfinishedBytes
        + " connection="
        + connectionEnd;
  }
}
