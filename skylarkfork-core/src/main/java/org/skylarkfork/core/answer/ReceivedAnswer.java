package org.skylarkfork.core.answer;

/**
 * What an attempt has received of its upstream's answer.
 *
 * @param framing how the answer marks its end
 * @param bytes number of bytes of the body that were received
 * @param unfinishedBytes number of bytes at the end of an event stream that belong to an event
 *     without its end; 0 for other answers
 * @param connectionEnd how the connection ended
 */
public record ReceivedAnswer(
    AnswerFraming framing, long bytes, int unfinishedBytes, ConnectionEnd connectionEnd) {

  /** Nothing was received. */
  public static final ReceivedAnswer NOTHING =
      new ReceivedAnswer(AnswerFraming.NO_HEAD, 0, 0, ConnectionEnd.OPEN);

  /** Returns the components as {@code key=value} pairs for a log line. */
  public String facts() {
    return "framing="
        + framing
        + " bytes="
        + bytes
        + " unfinished_bytes="
        + unfinishedBytes
        + " connection="
        + connectionEnd;
  }
}
