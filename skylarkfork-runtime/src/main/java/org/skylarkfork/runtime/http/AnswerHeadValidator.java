package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;

/**
 * Validates the heads of answers byte by byte, as they are received.
 *
 * <p>A head begins with a status line: the version, one blank, a status from 100 to 599, and
 * optionally one blank and a reason phrase without control bytes. Empty lines may stand before it.
 * Each line behind it is a name, a colon and a value without control bytes. No blank may stand
 * before, inside or behind a name: what it belongs to is read in different ways, so that a length
 * or a coding could be overlooked. So a line can't be continued on the next one either.
 */
final class AnswerHeadValidator {

  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_DIGITS = 3;

  /** Marks that names may hold, beside letters and digits. */
  private static final String NAME_MARKS = "!#$%&'*+-.^_`|~";

  private static final int LAST_CONTROL_BYTE = 0x1F;
  private static final int DELETE = 0x7F;

  /** What the next byte belongs to. */
  private enum Part {
    /** The status line, or an empty line before it. */
    START,
    /** The second byte of the end of an empty line before the status line. */
    EMPTY_LINE_END,
    VERSION,
    MINOR_VERSION,
    STATUS_BLANK,
    STATUS,
    REASON_BLANK,
    REASON,
    /** The second byte of the end of a line. */
    LINE_END,
    /** A line behind the status line, or the end of the head. */
    LINE_START,
    NAME,
    VALUE,
    /** The second byte of the end of the head. */
    HEAD_END,
    /** What follows the head. */
    BODY,
    /** What follows a byte that breaks the rules. */
    BROKEN
  }

  private Part part = Part.START;
  private int matchedBytes;
  private int bytesAhead;

  /** Begins with the next head. */
  void restart() {
    part = Part.START;
    matchedBytes = 0;
    bytesAhead = 0;
  }

  /**
   * Validates the bytes that were received since the last call.
   *
   * @param in all bytes that the decoder hasn't consumed, whose indices don't change
   */
  void validate(ByteBuf in) {
    int index = in.readerIndex() + bytesAhead;
    while (index < in.writerIndex() && part != Part.BODY && part != Part.BROKEN) {
      part = next(in.getByte(index) & 0xFF);
      index++;
    }
    bytesAhead = index - in.readerIndex();
  }

  /** Records that the decoder consumed bytes. */
  void onConsumed(int bytes) {
    bytesAhead = Math.max(0, bytesAhead - bytes);
  }

  /** Returns whether a byte breaks the rules. */
  boolean isBroken() {
    return part == Part.BROKEN;
  }

  private Part next(int value) {
    return switch (part) {
      case START -> value == '\r' ? Part.EMPTY_LINE_END : matchVersion(value);
      case EMPTY_LINE_END -> value == '\n' ? Part.START : Part.BROKEN;
      case VERSION -> matchVersion(value);
      case MINOR_VERSION -> value == '0' || value == '1' ? Part.STATUS_BLANK : Part.BROKEN;
      case STATUS_BLANK -> value == ' ' ? beginStatus() : Part.BROKEN;
      case STATUS -> matchStatus(value);
      case REASON_BLANK -> value == ' ' ? Part.REASON : endOfLine(value);
      case REASON -> isText(value) ? Part.REASON : endOfLine(value);
      case LINE_END -> value == '\n' ? Part.LINE_START : Part.BROKEN;
      case LINE_START -> value == '\r' ? Part.HEAD_END : matchName(value);
      case NAME -> value == ':' ? Part.VALUE : matchName(value);
      case VALUE -> isText(value) ? Part.VALUE : endOfLine(value);
      case HEAD_END -> value == '\n' ? Part.BODY : Part.BROKEN;
      case BODY, BROKEN -> part;
    };
  }

  private Part matchVersion(int value) {
    if (value != VERSION.charAt(matchedBytes)) {
      return Part.BROKEN;
    }
    matchedBytes++;
    return matchedBytes == VERSION.length() ? Part.MINOR_VERSION : Part.VERSION;
  }

  private Part beginStatus() {
    matchedBytes = 0;
    return Part.STATUS;
  }

  private Part matchStatus(int value) {
    char lowest = matchedBytes == 0 ? '1' : '0';
    char highest = matchedBytes == 0 ? '5' : '9';
    if (value < lowest || value > highest) {
      return Part.BROKEN;
    }
    matchedBytes++;
    return matchedBytes == STATUS_DIGITS ? Part.REASON_BLANK : Part.STATUS;
  }

  private static Part matchName(int value) {
    return isNameByte(value) ? Part.NAME : Part.BROKEN;
  }

  private static boolean isNameByte(int value) {
    return value >= 'a' && value <= 'z'
        || value >= 'A' && value <= 'Z'
        || value >= '0' && value <= '9'
        || NAME_MARKS.indexOf(value) >= 0;
  }

  private static Part endOfLine(int value) {
    return value == '\r' ? Part.LINE_END : Part.BROKEN;
  }

  private static boolean isText(int value) {
    return value == '\t' || value > LAST_CONTROL_BYTE && value != DELETE;
  }
}
