package org.skylarkfork.runtime.node;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/** Makes request ids that no other daemon and no other run of this one makes. */
public final class RequestIds implements Supplier<String> {

  private final String prefix;
  private final AtomicLong next = new AtomicLong();

  /**
   * Makes a source.
   *
   * @param node name of the daemon
   * @param incarnation number of this run of the daemon
   */
  public RequestIds(String node, long incarnation) {
    this.prefix = node + "-" + Long.toString(incarnation, Character.MAX_RADIX) + "-";
  }

  @Override
  public String get() {
    return prefix + next.incrementAndGet();
  }
}
