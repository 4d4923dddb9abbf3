package org.skylarkfork.daemon;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Calls of the command line to a daemon of the relay. */
final class RelayCall {

  /** Timeout of a call; a daemon answers within a second or says that it can't. */
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private static final int OK = 200;

  private RelayCall() {}

  /**
   * Sends a call without a body and prints the answer.
   *
   * @param daemon host and port of the daemon
   * @param method method of the call
   * @param path path and query below {@code /relay/v1/}
   * @return the exit code
   */
  static int send(String daemon, String method, String path) throws InterruptedException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + daemon + "/relay/v1/" + path))
              .timeout(TIMEOUT)
              .method(method, HttpRequest.BodyPublishers.noBody())
              .build();
      HttpResponse<String> answer =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
      boolean done = answer.statusCode() == OK;
      (done ? System.out : System.err).println(answer.body());
      return done ? ExitCode.SUCCESS : ExitCode.FAILURE;
    } catch (IOException | IllegalArgumentException unreachable) {
      System.err.println(
          "The daemon can't be asked: " + unreachable.getMessage() + ". Name another one.");
      return ExitCode.FAILURE;
    }
  }
}
