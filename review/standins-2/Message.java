import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * The head of an HTTP message and what reads its body.
 *
 * @param first the first line
 * @param headers the headers, with names in lower case
 */
record Message(String first, Map<String, String> headers) {

  /** Reads a head, or returns null if the connection ends before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = readLine(in); line == null || !line.isEmpty(); line = readLine(in)) {
      if (line == null) {
        throw new EOFException("cut inside the head");
      }
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Message(first, headers);
  }

  /** Returns a line without its end, or null at the end of the connection. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("cut inside a line");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  String header(String name) {
    return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
  }

  /** Returns the status of an answer. */
  int status() {
    return Integer.parseInt(first.split(" ")[1]);
  }

  /** Reads the whole body of a request; one without a length is empty. */
  byte[] readRequestBody(InputStream in) throws IOException {
    if (header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (byte[] chunk = readChunk(in); chunk.length > 0; chunk = readChunk(in)) {
        body.write(chunk);
      }
      return body.toByteArray();
    }
    String length = header("content-length");
    return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  /** Returns the next chunk, which is empty at the end of the body. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("cut between chunks");
    }
    byte[] chunk = readExactly(in, Integer.parseInt(size.split(";")[0].trim(), 16));
    readLine(in);
    return chunk;
  }

  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("cut inside the body");
    }
    return bytes;
  }
}
