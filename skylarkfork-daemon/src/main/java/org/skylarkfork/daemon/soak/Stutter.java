package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.apache.commons.rng.UniformRandomProvider;
import org.skylarkfork.daemon.soak.AnswerFaults.Shape;

/** Second answers to requests on one connection, which come late. */
final class Stutter {

  /** Fewer bytes behind a body that ends with its connection can't be told from that body. */
  private static final int MIN_BYTES_BEFORE_CLOSE = "HTTP/1.1 200".length();

  private final AnswerFaults faults;
  private final RunWitness runs;
  private final Socket socket;
  private final InputStream in;
  private final OutputStream out;
  private String pending = "";
  private int delayMillis;
  private boolean endsConnection;
  private boolean hidesAnswers;

  /**
   * Creates the second answers of a connection.
   *
   * @param faults how often, how late and in which shapes they come
   * @param runs counts them
   * @param socket the connection
   * @param in its requests, a stream that can be reset by a byte
   */
  Stutter(AnswerFaults faults, RunWitness runs, Socket socket, InputStream in) throws IOException {
    this.faults = faults;
    this.runs = runs;
    this.socket = socket;
    this.in = in;
    this.out = socket.getOutputStream();
  }

  /**
   * Chooses whether and when a request is answered again.
   *
   * @param head head of the second answer, without its framing and its empty line
   * @param body its body
   * @param afterFirst how the connection goes on after the first answer
   * @param random random choices
   * @return what is to be written immediately after the first answer; empty if there is no second
   *     answer, or a later one
   */
  String plan(String head, String body, SoakBody.End afterFirst, UniformRandomProvider random) {
    if (random.nextDouble() >= faults.secondAnswerShare()) {
      return "";
    }
    runs.onAnsweredAgain();
    Shape shape = faults.shapes().get(random.nextInt(faults.shapes().size()));
    endsConnection = shape == Shape.WITHOUT_LENGTH || shape == Shape.CUT;
    hidesAnswers |= shape == Shape.CUT_ON_OPEN_CONNECTION;
    String framing =
        shape == Shape.WITHOUT_LENGTH ? "" : "Content-Length: " + body.length() + "\r\n";
    String whole = head + framing + "\r\n" + body;
    boolean cut = shape == Shape.CUT || shape == Shape.CUT_ON_OPEN_CONNECTION;
    int minBytes = afterFirst == SoakBody.End.CLOSE ? MIN_BYTES_BEFORE_CLOSE : 0;
    String answer = cut ? whole.substring(0, random.nextInt(minBytes, whole.length())) : whole;
    if (random.nextBoolean()) {
      return answer;
    }
    pending = answer;
    delayMillis = 1 + random.nextInt((int) faults.maxDelay().toMillis());
    return "";
  }

  /**
   * Writes the second answer after its delay, or as soon as the next request arrives.
   *
   * @param afterFirst how the connection goes on after the first answer
   * @return how the connection goes on
   */
  SoakBody.End finish(SoakBody.End afterFirst) throws IOException {
    if (!pending.isEmpty()) {
      awaitRequest();
      out.write(pending.getBytes(StandardCharsets.UTF_8));
      out.flush();
      pending = "";
    }
    return endsConnection ? SoakBody.End.CLOSE : afterFirst;
  }

  /**
   * Returns whether later answers on the connection may be read as the rest of a second answer that
   * was cut.
   */
  boolean hidesAnswers() {
    return hidesAnswers;
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
