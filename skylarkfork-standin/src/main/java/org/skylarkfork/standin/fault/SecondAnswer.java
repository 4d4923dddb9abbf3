package org.skylarkfork.standin.fault;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.standin.settings.ZeroIfAbsent;

/**
 * What the second answer to a request looks like.
 *
 * @param form how it is framed and how far it goes; whole if absent
 * @param afterFailure whether the first answer is a failure (500) and the second one the answer of
 *     the run; both are the answer of the run otherwise
 */
public record SecondAnswer(Form form, @ZeroIfAbsent boolean afterFailure) {

  /** A whole answer equal to the first one. */
  static final SecondAnswer EQUAL = new SecondAnswer(Form.WHOLE, false);

  /** Puts the default in place of an absent form. */
  public SecondAnswer(@Nullable Form form, boolean afterFailure) {
    this.form = form == null ? Form.WHOLE : form;
    this.afterFailure = afterFailure;
  }

  /** How a second answer is framed and how far it goes. */
  public enum Form {
    /** Framed as the first answer; the connection goes on. */
    @JsonProperty("whole")
    WHOLE,
    /** Ends anywhere in its head or body; the connection goes on. */
    @JsonProperty("cut")
    CUT,
    /** Has neither a length nor chunks and ends with its connection. */
    @JsonProperty("unframed")
    UNFRAMED
  }
}
