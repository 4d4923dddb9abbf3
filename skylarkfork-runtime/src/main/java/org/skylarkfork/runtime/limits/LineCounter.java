package org.skylarkfork.runtime.limits;

import io.netty.util.ByteProcessor;

/** Counts the ends of lines in bytes. */
public final class LineCounter implements ByteProcessor {

  private static final byte LINE_FEED = '\n';

  private int lines;

  @Override
  public boolean process(byte value) {
    if (value == LINE_FEED) {
      lines++;
    }
    return true;
  }

  /** Returns the number of ends of lines. */
  public int lines() {
    return lines;
  }
}
