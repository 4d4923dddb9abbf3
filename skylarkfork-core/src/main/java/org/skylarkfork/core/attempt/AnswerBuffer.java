package org.skylarkfork.core.attempt;

import java.nio.charset.StandardCharsets;

/** The answer of the present step, put together in the order of its tokens. */
final class AnswerBuffer {

  private final StringBuilder text = new StringBuilder();
  private long tokens;
  private long bytes;

  /** What became of tokens. */
  enum ChunkPosition {
    /** They follow on those that are there. */
    NEXT,
    /** All of them are there already. */
    DUPLICATE,
    /** Some before them are missing, or they overlap, so that their text can't be cut. */
    GAP
  }

  /** Says how tokens fit, without taking them. */
  ChunkPosition classify(long offset, int count) {
    if (offset == tokens) {
      return ChunkPosition.NEXT;
    }
    return offset + count <= tokens ? ChunkPosition.DUPLICATE : ChunkPosition.GAP;
  }

  /** Takes tokens that follow; their text is kept only if it is needed again. */
  void append(int count, String added, boolean keepText) {
    tokens += count;
    if (keepText) {
      text.append(added);
      bytes += added.getBytes(StandardCharsets.UTF_8).length;
    }
  }

  /** Forgets the text that was only kept to be rated, and returns how many bytes it had. */
  long dropText() {
    final long held = bytes;
    text.setLength(0);
    bytes = 0;
    return held;
  }

  /** Empties the buffer and returns how many bytes it held. */
  long clear() {
    tokens = 0;
    return dropText();
  }

  long tokens() {
    return tokens;
  }

  long bytes() {
    return bytes;
  }

  String text() {
    return text.toString();
  }
}
