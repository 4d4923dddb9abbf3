package org.skylarkfork.runtime.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

/** An upstream that writes scripted bytes besides its answers, over raw connections on loopback. */
final class StutteringUpstream implements AutoCloseable {

  private final ServerSocket listener;
  private final List<Reply> replies;
  private final AtomicInteger requests = new AtomicInteger();
  private final AtomicInteger connections = new AtomicInteger();

  /**
   * What the upstream writes for one request.
   *
   * @param late bytes before the answer, only on a connection that carried a request before
   * @param answer the answer
   * @param extra bytes in the same write as the answer, after it
   */
  record Reply(String late, String answer, String extra) {}

  /**
   * Opens an upstream.
   *
   * @param replies what it writes for each request in order, over all connections
   */
  StutteringUpstream(List<Reply> replies) throws IOException {
    this.replies = replies;
    this.listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    start(this::accept);
  }

  /** Work that a connection may end. */
  private interface Work {
    void run() throws IOException;
  }

  private static void start(Work work) {
    Thread thread =
        new Thread(
            () -> {
              try {
                work.run();
              } catch (IOException | AssertionError ended) {
                // The client has closed the connection, or the test the upstream.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Returns the number of connections that carried a request. */
  int connections() {
    return connections.get();
  }

  private void accept() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      start(() -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException {
    try (socket) {
      for (int carried = 0; true; carried++) {
        readRequest(socket);
        if (carried == 0) {
          connections.incrementAndGet();
        }
        Reply reply = replies.get(requests.getAndIncrement());
        String late = carried == 0 ? "" : reply.late();
        EdgeFixture.send(socket, late + reply.answer() + reply.extra());
      }
    }
  }

  private static void readRequest(Socket socket) throws IOException {
    String head = EdgeFixture.readUntil(socket, "\r\n\r\n").toLowerCase(Locale.ROOT);
    String length = head.replaceFirst("(?s).*\r\ncontent-length: ([0-9]+).*", "$1");
    socket.getInputStream().readNBytes(Integer.parseInt(length));
  }

  @Override
  public void close() throws IOException {
    listener.close();
  }
}
