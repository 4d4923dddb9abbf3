package org.skylarkfork.runtime.relay;

import java.util.concurrent.CompletableFuture;

/**
 * Protocol of the calls of operators and upstreams to control VMs, and of callers' look-ups of
 * entries.
 */
public interface ControlDialect {

  /**
   * Answers a call.
   *
   * @param call the call
   * @param control operations of the control VM
   * @return the answer; the future never fails
   */
  CompletableFuture<HttpReply> answer(HttpCall call, ControlCalls control);

  /**
   * Answers a caller's look-up of entries at a daemon that isn't a control VM.
   *
   * @param call the call
   * @param directory entries that the daemon knows
   */
  HttpReply lookUpEntries(HttpCall call, EntryDirectory directory);
}
