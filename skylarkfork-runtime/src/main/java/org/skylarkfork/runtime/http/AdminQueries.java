package org.skylarkfork.runtime.http;

import java.util.concurrent.CompletableFuture;

/** Questions of the operators' listener that the daemon's state answers, as JSON-ready records. */
public interface AdminQueries {

  /** Returns whether a key's SHA-256 in hex is that of an operator. */
  CompletableFuture<Boolean> isOperator(String keyHash);

  /**
   * Returns a view of the daemon's state.
   *
   * @param view name of the view, such as {@code members}
   * @param argument what it is about, such as a team's name, or empty
   * @return the view; fails with {@code BadRequestException} if there is none of that name
   */
  CompletableFuture<Object> view(String view, String argument);

  /** Brings the gauges up to date with the daemon's state. */
  CompletableFuture<Boolean> refreshGauges();
}
