package org.skylarkfork.core.attempt;

import java.nio.charset.StandardCharsets;

/** Collects the answer of the current step in token order. */
final class AnswerBuffer {

  private final StringBuilder text = new StringBuilder();
  private long tokens;
  private long bytes;

  /** The position of received tokens relative to the buffered answer. */
  enum ChunkPosition {
    /** The tokens directly follow the buffered ones. */
    NEXT,
    /** All of the tokens are already buffered. */
    DUPLICATE,
    /**
     * Tokens before them are missing, or they overlap the buffered ones in part. The text of a
     * partial overlap can't be split by token.
     */
    GAP
  }

  /** Returns the position of tokens relative to the answer, without appending them. */
  ChunkPosition classify(long offset, int count) {
    if (offset == tokens) {
      return ChunkPosition.NEXT;
    }
    return offset + count <= tokens ? ChunkPosition.DUPLICATE : ChunkPosition.GAP;
  }

  /** Appends tokens that follow the buffered ones; stores their text only if requested. */
  void append(int count, String added, boolean keepText) {
    tokens += count;
    if (keepText) {
      text.append(added);
      bytes += added.getBytes(StandardCharsets.UTF_8).length;
    }
  }

  /** Drops the text but keeps the token count, and returns the number of bytes released. */
  long dropText() {
    final long held = bytes;
    text.setLength(0);
    bytes = 0;
    return held;
  }

  /** Clears the buffer and returns the number of bytes released. */
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
