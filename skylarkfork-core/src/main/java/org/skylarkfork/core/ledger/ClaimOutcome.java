package org.skylarkfork.core.ledger;

import java.util.List;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.Header;

/** How a claimed request ended. */
public sealed interface ClaimOutcome {

  /**
   * The request ran and was answered.
   *
   * @param status HTTP status
   * @param headers headers to forward to the caller
   * @param body whole body; empty if it exceeds the limit for recorded answers
   * @param facts facts from the headers of the first answer
   */
  record Answered(int status, List<Header> headers, Bytes body, AnswerMetadata facts)
      implements ClaimOutcome {

    /** Copies the headers. */
    public Answered {
      headers = List.copyOf(headers);
    }
  }

  /**
   * It is unknown whether the request ran, so it must not be sent again.
   *
   * @param detail what went wrong
   */
  record Unknown(String detail) implements ClaimOutcome {}

  /**
   * No upstream can have started the request; a resend may run it.
   *
   * @param detail what went wrong
   */
  record NotRun(String detail) implements ClaimOutcome {}
}
