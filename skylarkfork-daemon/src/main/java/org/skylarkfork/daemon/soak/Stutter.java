package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;

/** Second answers to requests on one connection, which come late. */
final class Stutter {

  /** One in so many requests is answered twice. */
  private static final int ONE_IN = 4;

  private static final int MAX_DELAY_MILLIS = 300;

  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;
  private String pending = "";
  private int delayMillis;
  private boolean endsConnection;

  /** How a second answer ends. */
  private enum Shape {
    WHOLE,
    WITHOUT_LENGTH,
    CUT
  }

  /**
   * Creates the second answers of a connection.
   *
   * @param socket the connection
   * @param in its requests, a stream that can be reset by a byte
   */
  Stutter(Socket socket, InputStream in) throws IOException {
    this.socket = socket;
    this.in = in;
    this.out = socket.getOutputStream();
  }

  /**
   * Chooses whether and when a request is answered again.
   *
   * @param head head of the second answer, without its framing and its empty line
   * @param body its body
   * @return what is to be written immediately after the first answer, maybe the empty text
   */
  String plan(String head, String body, UniformRandomProvider random) {
    if (random.nextInt(ONE_IN) != 0) {
      return "";
    }
    Shape shape = Shape.values()[random.nextInt(Shape.values().length)];
    endsConnection = shape != Shape.WHOLE;
    String framing =
        shape == Shape.WITHOUT_LENGTH ? "" : "Content-Length: " + body.length() + "\r\n";
    String whole = head + framing + "\r\n" + body;
    String answer = shape == Shape.CUT ? whole.substring(0, random.nextInt(whole.length())) : whole;
    if (random.nextBoolean()) {
      return answer;
    }
    pending = answer;
    delayMillis = 1 + random.nextInt(MAX_DELAY_MILLIS);
    return "";
  }

  /**
   * Writes the second answer after its delay, or as soon as the next request arrives.
   *
   * @return how the connection goes on
   */
  SoakBody.End finish() throws IOException {
    if (!pending.isEmpty()) {
      awaitRequest();
      out.write(pending.getBytes(StandardCharsets.UTF_8));
      out.flush();
      pending = "";
    }
    return endsConnection ? SoakBody.End.CLOSE : SoakBody.End.KEEP_OPEN;
  }

  private void awaitRequest() throws IOException {
    socket.setSoTimeout(delayMillis);
    in.mark(1);
    try {
      in.read();
      in.reset();
    } catch (SocketTimeoutException idle) {
      // The second answer meets an idle connection.
    } finally {
      socket.setSoTimeout(0);
    }
  }
}
