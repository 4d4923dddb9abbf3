package org.skylarkfork.runtime.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counts what the transport does, from any thread. */
final class TransportCounters {

  final LongAdder sent = new LongAdder();
  final LongAdder received = new LongAdder();
  final LongAdder dropped = new LongAdder();
  final LongAdder malformed = new LongAdder();
  final LongAdder refused = new LongAdder();
  final LongAdder lost = new LongAdder();
  final LongAdder unknownMessages = new LongAdder();

  TransportCounts counts() {
    return new TransportCounts(
        sent.sum(),
        received.sum(),
        dropped.sum(),
        malformed.sum(),
        refused.sum(),
        lost.sum(),
        unknownMessages.sum());
  }
}
