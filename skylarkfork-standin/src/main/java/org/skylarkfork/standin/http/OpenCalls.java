package org.skylarkfork.standin.http;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import reactor.core.publisher.Mono;

/** Knows how many calls are open, so that a stop can wait for the last one. */
public final class OpenCalls {

  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private int open;
  private boolean leaving;

  /**
   * Handles a call and counts it as open until its last byte is on its way.
   *
   * @param handler answers the call; it may ask whether new work is still wanted
   * @return completes once the answer is sent
   */
  public Mono<Void> track(Supplier<Mono<Void>> handler) {
    return Mono.defer(
        () -> {
          // Counted before the handler asks for leaving(), so a stop misses no accepted call.
          enter();
          return Mono.defer(handler).doFinally(signal -> exit());
        });
  }

  /**
   * Gives the number of open calls.
   *
   * @return the number, the calling one included
   */
  public synchronized int open() {
    return open;
  }

  /**
   * Tells whether a stop has begun, so that new work is to be refused.
   *
   * @return whether it has
   */
  public synchronized boolean leaving() {
    return leaving;
  }

  /**
   * Begins a stop.
   *
   * @return completes once no call is open any more
   */
  public synchronized CompletableFuture<Void> leave() {
    leaving = true;
    completeIfIdle();
    return idle;
  }

  private synchronized void enter() {
    open++;
  }

  private synchronized void exit() {
    open--;
    completeIfIdle();
  }

  private void completeIfIdle() {
    if (leaving && open == 0) {
      idle.complete(null);
    }
  }
}
