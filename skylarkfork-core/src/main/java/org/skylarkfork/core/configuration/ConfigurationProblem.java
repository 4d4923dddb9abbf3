package org.skylarkfork.core.configuration;

/**
 * A reason why a change can't be accepted.
 *
 * @param kind category of the problem
 * @param subject the affected object, such as {@code team elst}
 * @param message description of the problem and its remedy
 */
public record ConfigurationProblem(Kind kind, String subject, String message) {

  /** Categories of configuration problems. */
  public enum Kind {
    /** The change names an object that doesn't exist. */
    NOT_FOUND,
    /** The configuration refers to an object that doesn't exist. */
    UNKNOWN_REFERENCE,
    /** Two objects share a value that must be unique. */
    DUPLICATE,
    /** A value is outside its allowed range. */
    OUT_OF_RANGE,
    /** A list has too many elements or a text is too long. */
    TOO_LARGE,
    /** A value is missing or a text contains characters that are not allowed. */
    MALFORMED,
    /** A withdrawn version would receive new work. */
    WITHDRAWN,
    /** The change is not possible in the current state. */
    WRONG_STATE,
    /**
     * The change would remove the last operator key, so that no operator could make further
     * changes.
     */
    LAST_OPERATOR_KEY
  }
}
