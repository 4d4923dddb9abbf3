package org.skylarkfork.runtime.http;

/**
 * Counts of what a decoder has made of the bytes of a connection.
 *
 * @param ends heads and bodies that are complete
 * @param parts parts of bodies
 * @param bytes bytes of bodies
 * @param lines line feeds in bodies
 */
record DecodedParts(long ends, int parts, int bytes, int lines) {

  /** Nothing. */
  static final DecodedParts NONE = new DecodedParts(0, 0, 0, 0);

  /** Returns the counts with those of a part of a body. */
  DecodedParts plusPart(int moreBytes, int moreLines) {
    return new DecodedParts(ends, parts + 1, bytes + moreBytes, lines + moreLines);
  }

  /** Returns the counts with one more end. */
  DecodedParts plusEnd() {
    return new DecodedParts(ends + 1, parts, bytes, lines);
  }

  /** Returns the difference to earlier counts; the counts of bodies may overflow. */
  DecodedParts since(DecodedParts earlier) {
    return new DecodedParts(
        ends - earlier.ends, parts - earlier.parts, bytes - earlier.bytes, lines - earlier.lines);
  }
}
