package org.skylarkfork.core.configuration;

/**
 * Why a change can't be accepted.
 *
 * @param kind what is wrong
 * @param subject the object concerned, such as {@code team elst}
 * @param message what is wrong and what to do about it
 */
public record ConfigurationProblem(Kind kind, String subject, String message) {

  /** What can be wrong with a configuration. */
  public enum Kind {
    /** The change names something that isn't there. */
    NOT_FOUND,
    /** A part of the configuration refers to something that isn't there. */
    UNKNOWN_REFERENCE,
    /** Two things share what must be unique. */
    DUPLICATE,
    /** A value is outside its bounds. */
    OUT_OF_RANGE,
    /** There are too many of something, or a text is too long. */
    TOO_LARGE,
    /** A text has characters that it may not have. */
    MALFORMED,
    /** A withdrawn version would get new work. */
    WITHDRAWN,
    /** The change doesn't fit the present state. */
    WRONG_STATE,
    /** No operator could make a change any more. */
    LAST_OPERATOR_KEY
  }
}
