package org.skylarkfork.daemon.soak;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The head of a request or an answer.
 *
 * @param first its first line
 * @param values its headers by name in lower case
 */
record Head(String first, Map<String, String> values) {

  private static final int LONGEST = 64 * 1024;

  /**
   * Reads a head up to its empty line.
   *
   * @throws EOFException if the stream ends before
   */
  static Head read(InputStream in) throws IOException {
    String first = line(in);
    Map<String, String> values = new HashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      if (colon > 0) {
        values.put(
            line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
            line.substring(colon + 1).trim());
      }
    }
    return new Head(first, values);
  }

  /** Reads a line without its end. */
  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int read = in.read(); read != '\n'; read = in.read()) {
      if (read < 0 || line.length() > LONGEST) {
        throw new EOFException("the stream ends in a line");
      }
      if (read != '\r') {
        line.append((char) read);
      }
    }
    return line.toString();
  }

  /** Returns a header, or the empty text. */
  String value(String name) {
    return values.getOrDefault(name, "");
  }

  /** Returns the second word of the first line: a path, or a status. */
  String path() {
    String[] words = first.split(" ");
    return words.length > 1 ? words[1] : "";
  }

  /** Returns the length of the body, 0 if none is told. */
  int length() {
    String length = value("content-length");
    return length.isEmpty() ? 0 : Integer.parseInt(length);
  }
}
