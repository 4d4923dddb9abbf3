package org.skylarkfork.core.ledger;

import java.util.List;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;

/** How a claimed request ended. */
public sealed interface ClaimOutcome {

  /**
   * It ran and this is its answer.
   *
   * @param status HTTP status
   * @param headers headers to pass on
   * @param body whole body; empty if it was over the bound for recorded answers
   * @param facts what the first answer's headers said
   */
  record Answered(int status, List<Header> headers, Bytes body, AnswerMetadata facts)
      implements ClaimOutcome {

    /** Copies the headers. */
    public Answered {
      headers = List.copyOf(headers);
    }
  }

  /**
   * It is not known whether it ran, so it must not be sent again.
   *
   * @param detail what went wrong
   */
  record Unknown(String detail) implements ClaimOutcome {}

  /**
   * No upstream can have started it; a resend may run it.
   *
   * @param detail what went wrong
   */
  record NotRun(String detail) implements ClaimOutcome {}
}
