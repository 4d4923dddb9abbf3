package org.skylarkfork.runtime.http;

import io.netty.buffer.ByteBuf;
import java.util.function.Predicate;

/**
 * Finds the head of another answer inside the body of an answer.
 *
 * <p>An upstream may answer a request twice. If the first answer has no length, or was cut inside
 * its body, the second one is read as a part of that body. Its head is a status line with header
 * lines behind it, of which one names a request that the connection has carried; text that quotes a
 * head names no such request. Interim heads before it belong to it.
 */
public final class SecondHeadDetector {

  private static final String VERSION = "HTTP/1.";

  /** Length of the part of a status line that is compared, up to the status code. */
  private static final int STATUS_BYTES = "HTTP/1.1 200".length();

  /** Index of the first digit of the status code, which tells an interim answer. */
  private static final int CLASS_INDEX = "HTTP/1.1 ".length();

  /** Marks that occur in reason phrases, beside letters and digits. */
  private static final String REASON_MARKS = " -'()\t\r";

  /** Marks that occur in names of headers, beside letters and digits. */
  private static final String NAME_MARKS = "-_\r";

  /** Length above which a head, or a line of it, is no longer looked at. */
  private static final int MAX_HEAD_BYTES = 1 << 15;

  private final String requestIdHeader;
  private final Predicate<String> isCarried;
  private final StringBuilder line = new StringBuilder();
  private long position;
  private long newestStart;
  private long bodyEnd = Long.MAX_VALUE;
  private int matchedBytes;
  private boolean insideHead;
  private boolean insideStatusLine;
  private boolean insideName;
  private boolean plausible;
  private boolean interim;
  private long interimEnd = -1;
  private long headStart;
  private boolean found;

  /**
   * Creates a detector for the body of one answer.
   *
   * @param requestIdHeader name of the header that names the request of an answer
   * @param isCarried returns whether the connection has carried the request with an id
   */
  public SecondHeadDetector(String requestIdHeader, Predicate<String> isCarried) {
    this.requestIdHeader = requestIdHeader;
    this.isCarried = isCarried;
  }

  /**
   * Scans the next bytes of the body, whose indices don't change.
   *
   * @return the number of the bytes, from the first one, that don't belong to another answer; all
   *     of them if no head of another answer was found
   */
  public int ownBytes(ByteBuf bytes) {
    newestStart = position;
    scan(bytes);
    return found ? (int) Math.max(0, headStart - newestStart) : bytes.readableBytes();
  }

  /** Returns how many of the newest bytes were scanned: all, or those until a head was found. */
  int scannedBytes() {
    return (int) (position - newestStart);
  }

  /**
   * Returns the number of the newest bytes that stand before the head which was found, or in which
   * they end: all of them if there is none, 0 if it began before them.
   */
  int bytesBeforeHead() {
    boolean isHead = found || endsInsideHead();
    return (int) (isHead ? Math.max(0, headStart - newestStart) : position - newestStart);
  }

  /**
   * Scans bytes that follow the end of the body, to find a head that began inside it.
   *
   * @param following the bytes, whose indices don't change
   */
  public void scanBehindBody(ByteBuf following) {
    bodyEnd = position;
    boolean endsBehindInterimHead = position == interimEnd;
    if (insideHead || matchedBytes > 0 || endsBehindInterimHead) {
      scan(following);
    }
  }

  private void scan(ByteBuf bytes) {
    int end = bytes.writerIndex();
    int index = bytes.readerIndex();
    while (index < end && !found) {
      int next = insideHead || matchedBytes > 0 ? index : startOfStatusLine(bytes, index);
      position += next - index;
      if (next < end) {
        read((char) (bytes.getByte(next) & 0xFF));
      }
      index = next + 1;
    }
  }

  /** Returns the next index at which a status line may start, or the end of the bytes. */
  private static int startOfStatusLine(ByteBuf bytes, int index) {
    int start = bytes.indexOf(index, bytes.writerIndex(), (byte) VERSION.charAt(0));
    return start < 0 ? bytes.writerIndex() : start;
  }

  /** Returns whether the head of another answer was found. */
  public boolean isFound() {
    return found && headStart < bodyEnd;
  }

  /**
   * Returns whether the newest bytes belong to what may be the head of another answer, which began
   * inside the body and isn't complete. Text behind a status line that no head holds, such as the
   * rest of a sentence or of a JSON string, tells that it is none.
   */
  public boolean endsInsideHead() {
    boolean insideInterim = position - matchedBytes == interimEnd;
    boolean insideStatus = matchedBytes >= CLASS_INDEX && position - matchedBytes < bodyEnd;
    return insideStatus || (insideHead && plausible || insideInterim) && headStart < bodyEnd;
  }

  private void read(char next) {
    position++;
    if (insideHead) {
      readHead(next);
    }
    matchStatusLine(next);
  }

  private void matchStatusLine(char next) {
    if (!matchesStatusLine(next)) {
      matchedBytes = 0;
    }
    if (matchesStatusLine(next)) {
      interim = matchedBytes == CLASS_INDEX ? next == '1' : interim;
      matchedBytes++;
    }
    if (matchedBytes == STATUS_BYTES) {
      matchedBytes = 0;
      beginHead();
    }
  }

  private boolean matchesStatusLine(char next) {
    if (matchedBytes < VERSION.length()) {
      return next == VERSION.charAt(matchedBytes);
    }
    return switch (matchedBytes - VERSION.length()) {
      case 0 -> next == '0' || next == '1';
      case 1 -> next == ' ';
      case 2 -> next >= '1' && next <= '5';
      default -> next >= '0' && next <= '9';
    };
  }

  /**
   * A status line inside a head is that of an answer after one that was cut in its head; one behind
   * an interim head is that of the same answer.
   */
  private void beginHead() {
    long start = position - STATUS_BYTES;
    if (!insideHead && start != interimEnd) {
      headStart = start;
    }
    insideHead = true;
    insideStatusLine = true;
    plausible = true;
    line.setLength(0);
  }

  private void readHead(char next) {
    if (next == '\n') {
      endLine();
    } else {
      checkPlausible(next);
      line.append(next);
    }
    if (position - headStart > MAX_HEAD_BYTES) {
      insideHead = false;
    }
  }

  private void checkPlausible(char next) {
    if (insideStatusLine) {
      boolean ends = !line.isEmpty() || next == ' ' || next == '\r';
      plausible &= ends && (Character.isLetterOrDigit(next) || REASON_MARKS.indexOf(next) >= 0);
    } else if (next == ':') {
      insideName = false;
    } else if (insideName) {
      plausible &= Character.isLetterOrDigit(next) || NAME_MARKS.indexOf(next) >= 0;
    }
  }

  private void endLine() {
    int colon = line.indexOf(":");
    insideName = true;
    if (line.isEmpty() || line.charAt(line.length() - 1) != '\r') {
      // Text whose lines end with LF alone, such as a log; those of a head end with CR and LF.
      insideHead = false;
    } else if (insideStatusLine) {
      insideStatusLine = false;
    } else if (colon <= 0) {
      insideHead = false;
      interimEnd = interim && line.toString().isBlank() ? position : interimEnd;
    } else if (namesRequest(colon)) {
      insideHead = false;
      found = true;
    }
    line.setLength(0);
  }

  private boolean namesRequest(int colon) {
    return line.substring(0, colon).equalsIgnoreCase(requestIdHeader)
        && isCarried.test(line.substring(colon + 1).strip());
  }
}
