package org.skylarkfork.core.answer;

/** How an answer marks its end. */
public enum AnswerFraming {
  /** No head of an answer was received. */
  NO_HEAD,
  /** The status allows no body. */
  NO_BODY,
  /** The head states the length of the body. */
  LENGTH,
  /** The body comes in chunks, of which the last one is empty. */
  CHUNKS,
  /** The body ends with the connection. */
  CONNECTION
}
