package org.skylarkfork.daemon.soak;

import java.io.IOException;
import java.net.Socket;
import org.tinylog.Logger;

/** Threads of the soak, which end with their sockets. */
final class SoakThreads {

  private SoakThreads() {}

  /** Work that ends when its socket does. */
  interface Work {
    void run() throws IOException;
  }

  static Thread start(String name, Work work) {
    Thread thread = new Thread(() -> run(work), name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private static void run(Work work) {
    try {
      work.run();
    } catch (IOException ended) {
      // A closed socket is how such work ends, on purpose or by a fault of the soak's own.
      Logger.trace(ended, "soak: a connection ends");
    }
  }

  /** Closes a socket so that the other side sees a reset. */
  static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
      socket.close();
    } catch (IOException closed) {
      Logger.trace(closed, "soak: the socket was closed already");
    }
  }
}
