package org.skylarkfork.standin.engine;

import java.util.concurrent.atomic.AtomicLong;

/** What an engine has done since its start; safe for use by several threads. */
final class EngineCounters {

  private final AtomicLong started = new AtomicLong();
  private final AtomicLong finished = new AtomicLong();
  private final AtomicLong cancelled = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final AtomicLong resumed = new AtomicLong();
  private final AtomicLong tokens = new AtomicLong();
  private final AtomicLong orders = new AtomicLong();

  AtomicLong started() {
    return started;
  }

  AtomicLong finished() {
    return finished;
  }

  AtomicLong cancelled() {
    return cancelled;
  }

  AtomicLong refused() {
    return refused;
  }

  AtomicLong resumed() {
    return resumed;
  }

  AtomicLong tokens() {
    return tokens;
  }

  AtomicLong orders() {
    return orders;
  }
}
