import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in server: it registers itself, checks the id that is meant, and runs a behaviour. */
final class StandInServer implements AutoCloseable {

  /** What the server does with a request. */
  interface Behaviour {

    /** Runs a request; returns whether the connection stays open. */
    boolean run(
        StandInServer server, Message head, byte[] body, Socket connection, OutputStream out)
        throws Exception;
  }

  private final Deployment deployment;
  private final String id;
  private final String service;
  private final int slots;
  private final InetSocketAddress address;
  private final Behaviour behaviour;
  private final long born = System.currentTimeMillis();
  private final AtomicLong sequence = new AtomicLong();
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket listener;
  private volatile boolean beats = true;
  private volatile boolean closed;

  StandInServer(
      Deployment deployment,
      String id,
      String service,
      int slots,
      InetSocketAddress address,
      Behaviour behaviour) {
    this.deployment = deployment;
    this.id = id;
    this.service = service;
    this.slots = slots;
    this.address = address;
    this.behaviour = behaviour;
  }

  String id() {
    return id;
  }

  /** Opens the listener and begins to register. */
  StandInServer start() throws IOException {
    listener = new ServerSocket();
    listener.setReuseAddress(true);
    listener.bind(address, 200);
    daemon(this::accept);
    daemon(this::register);
    return this;
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void register() {
    for (int turn = 0; !closed; turn++) {
      if (beats) {
        heartbeat("ready", turn);
      }
      try {
        Thread.sleep(1200);
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  /** Sends a heartbeat to one control VM after the other until one acknowledges it. */
  boolean heartbeat(String state, int first) {
    String beat =
        "{\"service\":\""
            + service
            + "\",\"address\":\""
            + address.getAddress().getHostAddress()
            + ":"
            + address.getPort()
            + "\",\"zone\":\""
            + Deployment.ZONE
            + "\",\"version\":\"v1\",\"slots\":"
            + slots
            + ",\"state\":\""
            + state
            + "\",\"cold_remaining_ms\":0,\"stage\":\"both\",\"models\":[],\"born\":"
            + born
            + ",\"sequence\":"
            + sequence.incrementAndGet()
            + "}";
    for (int turn = 0; turn < deployment.controls(); turn++) {
      InetSocketAddress control = deployment.controlAddress((first + turn) % deployment.controls());
      if (Deployment.call(control, "POST", "/instances/" + id + "/heartbeat", beat)
          .startsWith("200")) {
        return true;
      }
    }
    return false;
  }

  private void accept() {
    while (!closed) {
      try {
        Socket connection = listener.accept();
        connections.add(connection);
        daemon(() -> serve(connection));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      boolean open = true;
      while (open) {
        Message head = Message.readHead(in);
        if (head == null) {
          return;
        }
        byte[] body = head.readRequestBody(in);
        String expected = head.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          out.write(answer("421 Misdirected Request", head, "X-Not-Executed: 1\r\n", ""));
        } else {
          open = behaviour.run(this, head, body, connection, out);
        }
      }
    } catch (Exception ended) {
      // The caller has left, or the server was stopped.
    } finally {
      connections.remove(connection);
    }
  }

  /** Returns an answer with a length; headers end with line ends. */
  byte[] answer(String status, Message request, String headers, String body) {
    return ("HTTP/1.1 "
            + status
            + "\r\nX-Request-Id: "
            + request.header("x-request-id")
            + "\r\nX-Server-Seal: seal-"
            + id
            + "\r\n"
            + headers
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body)
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  /** Ends the server as a crash does: nobody listens, and all connections are reset. */
  void crash() throws IOException {
    closed = true;
    listener.close();
    for (Socket connection : connections) {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  @Override
  public void close() throws IOException {
    crash();
  }
}
