package org.skylarkfork.runtime.relay;

import java.util.concurrent.CompletableFuture;

/** The calls of operators and upstreams to control VMs, and callers' look-ups of entries. */
public interface ControlDialect {

  /**
   * Answers a call.
   *
   * @param call the call
   * @param control what the control VM can do
   * @return the answer; never fails
   */
  CompletableFuture<HttpReply> answer(HttpCall call, ControlCalls control);

  /**
   * Answers a caller's look-up of entries at a daemon that is no control VM.
   *
   * @param call the call
   * @param directory the entries that the daemon knows
   */
  HttpReply lookUpEntries(HttpCall call, EntryDirectory directory);
}
