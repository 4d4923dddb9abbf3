package org.skylarkfork.core.relay;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/** The moments of the newest sends to one upstream. */
final class SendWindow {

  private final Duration length;
  private final Deque<Instant> sends = new ArrayDeque<>();

  SendWindow(Duration length) {
    this.length = length;
  }

  void recordSend(Instant now) {
    forgetOld(now);
    sends.addLast(now);
  }

  /** Returns how many requests were sent within the window that ends now. */
  int count(Instant now) {
    forgetOld(now);
    return sends.size();
  }

  private void forgetOld(Instant now) {
    Instant oldest = now.minus(length);
    while (!sends.isEmpty() && sends.peekFirst().isBefore(oldest)) {
      sends.removeFirst();
    }
  }
}
