package org.skylarkfork.runtime.relay;

import java.util.concurrent.CompletableFuture;

/** The calls that operators, upstreams and callers of a deployment make to control VMs. */
public interface ControlDialect {

  /**
   * Answers a call.
   *
   * @param call the call
   * @param control what the control VM can do
   * @return the answer; never fails
   */
  CompletableFuture<HttpReply> answer(HttpCall call, ControlCalls control);
}
