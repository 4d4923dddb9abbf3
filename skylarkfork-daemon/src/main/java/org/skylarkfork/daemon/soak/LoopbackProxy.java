package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** Passes connections on to one address and disturbs them when told to. */
final class LoopbackProxy implements AutoCloseable {

  /** What happens to the bytes. */
  enum Mode {
    /** They pass. */
    PASS,
    /** Each piece waits a little. */
    DELAY,
    /** They vanish both ways, with the connections open. */
    SILENCE,
    /** Answers vanish, requests pass. */
    NO_ANSWERS
  }

  private static final long DELAY_MILLIS = 60;
  private static final int CONNECT_MILLIS = 1000;
  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile Mode mode = Mode.PASS;

  LoopbackProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    SoakThreads.start("proxy", this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  void mode(Mode next) {
    mode = next;
  }

  /** Resets all open connections. */
  void reset() {
    for (Socket socket : open) {
      SoakThreads.reset(socket);
    }
  }

  private void accept() throws IOException {
    while (true) {
      Socket from = listener.accept();
      open.add(from);
      SoakThreads.start("proxy", () -> join(from));
    }
  }

  private void join(Socket from) throws IOException {
    try (from;
        Socket to = new Socket()) {
      to.connect(target, CONNECT_MILLIS);
      open.add(to);
      Thread answers = SoakThreads.start("proxy", () -> pump(to, from, false));
      pump(from, to, true);
      answers.join();
      open.remove(to);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    } finally {
      open.remove(from);
    }
  }

  /** Passes one direction on until it ends; a reset on one side is a reset on the other. */
  private void pump(Socket from, Socket to, boolean requests) {
    byte[] buffer = new byte[BUFFER_BYTES];
    boolean hasLost = false;
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        Mode now = mode;
        if (now == Mode.DELAY) {
          TimeUnit.MILLISECONDS.sleep(DELAY_MILLIS);
        }
        // TCP delivers nothing after bytes that got lost.
        hasLost |= now == Mode.SILENCE || now == Mode.NO_ANSWERS && !requests;
        if (!hasLost) {
          out.write(buffer, 0, count);
        }
      }
      if (hasLost) {
        throw new IOException("bytes were lost before the end");
      }
      to.shutdownOutput();
    } catch (IOException broken) {
      SoakThreads.reset(to);
      SoakThreads.reset(from);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws IOException {
    listener.close();
    reset();
  }
}
