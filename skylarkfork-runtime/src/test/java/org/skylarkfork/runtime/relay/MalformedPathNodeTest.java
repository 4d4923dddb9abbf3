package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Tests the listeners of a daemon with paths that no client sends on purpose. */
public final class MalformedPathNodeTest extends RelayNodeHarness {

  private static final int TIMEOUT_MILLIS = 30_000;

  private static final List<String> MALFORMED =
      List.of("/%", "/%zz/x", "/relay/v1/upstreams/%z", "/relay/v1/configuration?%", "/?a=%zz");

  private static final List<String> ODD =
      List.of("/", "//", "///", "*", "?", "?a", "/relay/v1/", "/relay/v1//", "/%00", "http://x/y");

  private static String answer(InetSocketAddress address, String method, String path)
      throws IOException {
    try (Socket socket = new Socket(LOOPBACK, address.getPort())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      String request =
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: odd\r\n"
              + "Connection: close\r\nContent-Length: 2\r\n\r\n{}";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  private List<InetSocketAddress> callAddresses() {
    return List.of(node().controlAddress().join(), node().metricsAddress().join());
  }

  /** Guards against clients that take a call they must change for one to send again. */
  @Test
  public void malformedEscapesAreRejected() throws Exception {
    for (InetSocketAddress address : callAddresses()) {
      for (String path : MALFORMED) {
        String answer = answer(address, "GET", path);
        assertTrue(answer.startsWith("HTTP/1.1 400 "), path + ": " + answer);
      }
    }
  }

  /** Guards against connections that close without an answer. */
  @Test
  public void oddPathsAreAnswered() throws Exception {
    for (InetSocketAddress address : callAddresses()) {
      for (String path : ODD) {
        for (String method : List.of("GET", "PUT", "DELETE", "POST")) {
          String answer = answer(address, method, path);
          boolean isAnswered = answer.startsWith("HTTP/1.1 4") || answer.startsWith("HTTP/1.1 2");
          assertTrue(isAnswered, method + " " + path + ": " + answer);
        }
      }
    }
  }

  /** Callers get an answer for each path, since routes may match it. */
  @Test
  public void callersAreAnsweredWhateverTheirPath() throws Exception {
    serveWith();
    InetSocketAddress caller = node().callerAddress();
    for (List<String> paths : List.of(MALFORMED, ODD)) {
      for (String path : paths) {
        String answer = answer(caller, "GET", path);
        assertTrue(answer.startsWith("HTTP/1.1 4"), path + ": " + answer);
      }
    }
  }
}
