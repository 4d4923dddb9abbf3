package org.skylarkfork.core.answer;

/** Whether a received answer is whole, or why it isn't. */
public enum AnswerEnd {
  /** No head of an answer was received. */
  NO_ANSWER,
  /** Everything that the upstream sent was received. */
  WHOLE,
  /** The end that the framing announced was not received. */
  BODY_CUT,
  /** An event stream ended inside an event. */
  EVENT_CUT,
  /** The body was to end with the connection, which its upstream didn't close. */
  CONNECTION_LOST
}
