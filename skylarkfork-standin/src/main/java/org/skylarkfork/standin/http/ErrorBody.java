package org.skylarkfork.standin.http;

/**
 * The error object of the OpenAI-style protocol.
 *
 * @param error what went wrong
 */
public record ErrorBody(Detail error) {

  /**
   * The content of an error object.
   *
   * @param message one sentence that names the remedy
   * @param type the kind of error
   * @param code a short word for programs
   */
  public record Detail(String message, String type, String code) {}

  /**
   * Makes an error object.
   *
   * @param message one sentence that names the remedy
   * @param type the kind of error
   * @param code a short word for programs
   * @return the error object
   */
  public static ErrorBody of(String message, String type, String code) {
    return new ErrorBody(new Detail(message, type, code));
  }
}
