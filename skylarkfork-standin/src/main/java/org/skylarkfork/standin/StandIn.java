package org.skylarkfork.standin;

import java.util.concurrent.CompletableFuture;

/** A stand-in for an outside system, with one HTTP listener in this process. */
public interface StandIn extends AutoCloseable {

  /**
   * Binds the port and begins to announce, if the stand-in announces itself.
   *
   * @return the bound IP number and port, with a colon between
   */
  String start();

  /**
   * Gives the bound address.
   *
   * @return the IP number and port, with a colon between
   * @throws NullPointerException if the stand-in was not started
   */
  String address();

  /**
   * Ends gracefully: announces leaving, refuses new work, finishes what runs, says that it is gone
   * and closes.
   *
   * @return completes once all is closed; calls that are never answered must be ended by their
   *     callers before that
   */
  CompletableFuture<Void> stop();

  /** Ends at once, as a crash would: running answers are cut and nothing is announced. */
  @Override
  void close();
}
