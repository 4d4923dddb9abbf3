package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 messages over plain sockets. */
final class Http {

  private Http() {}

  /** A message: its first line, its headers with names in lowercase, and its body. */
  record Message(String start, Map<String, String> headers, byte[] body) {

    /** Returns the status of an answer. */
    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  /** Opens a connection to {@code IP:PORT}. */
  static Socket connect(String address, int timeoutMillis) throws IOException {
    int colon = address.lastIndexOf(':');
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(
            address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
        timeoutMillis);
    return socket;
  }

  /** Sends one call on a connection of its own and returns the whole answer. */
  static Message call(String address, String head, byte[] body, int timeoutMillis)
      throws IOException {
    try (Socket socket = connect(address, timeoutMillis)) {
      socket.setSoTimeout(timeoutMillis);
      socket.getOutputStream().write(bytes(head, body));
      return read(socket.getInputStream());
    }
  }

  /** Returns the bytes of a message whose head ends with a line break. */
  static byte[] bytes(String head, byte[] body) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.writeBytes(head.replace("\n", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    out.writeBytes(("Content-Length: " + body.length + "\r\n\r\n").getBytes());
    out.writeBytes(body);
    return out.toByteArray();
  }

  /** Reads the first line and the headers of a message, without its body. */
  static Message readHead(InputStream in) throws IOException {
    String start = line(in);
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    return new Message(start, headers, new byte[0]);
  }

  /** Reads a message with its body, which has a length or comes in chunks. */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
        body.writeBytes(exactly(in, size));
        line(in);
      }
      line(in);
    } else if (!head.header("content-length").isEmpty()) {
      body.writeBytes(exactly(in, Integer.parseInt(head.header("content-length"))));
    }
    return new Message(head.start(), head.headers(), body.toByteArray());
  }

  private static int chunkSize(InputStream in) throws IOException {
    return Integer.parseInt(line(in).split(";")[0].trim(), 16);
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the message ended after " + bytes.length + " of " + size + " bytes");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException("the connection ended");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
