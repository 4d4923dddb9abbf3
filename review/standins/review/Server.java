package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A server of a service: sends heartbeats and answers requests on kept connections. */
final class Server implements AutoCloseable {

  /** Answers a request. */
  interface Handler {

    /**
     * Answers one request.
     *
     * @return whether the connection is kept
     */
    boolean answer(Server server, Http.Message request, OutputStream out)
        throws IOException, InterruptedException;
  }

  private final Deployment deployment;
  private final String service;
  private final String version;
  private final String zone;
  private final int slots;
  private final Handler handler;
  private final ServerSocket listener;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private final long born = System.currentTimeMillis();
  private volatile boolean closed;
  private long sequence;
  final String id;
  final String address;

  Server(
      Deployment deployment,
      String service,
      String version,
      int host,
      String zone,
      int slots,
      Handler handler)
      throws IOException {
    this.deployment = deployment;
    this.service = service;
    this.version = version;
    this.zone = zone;
    this.slots = slots;
    this.handler = handler;
    this.id = "i-" + Integer.toHexString(0x10000 + host) + Long.toHexString(born & 0xffff);
    String ip = Deployment.ip(host);
    this.address = ip + ":" + deployment.serverPort();
    this.listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName(ip), deployment.serverPort()), 512);
    run(this::accept);
    run(this::sendHeartbeats);
  }

  private static void run(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!closed) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        run(() -> serve(socket));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    connections.add(socket);
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      boolean kept = true;
      while (kept && !closed) {
        Http.Message request = Http.read(in);
        if (request.start().startsWith("GET /healthz ")) {
          out.write(Http.bytes("HTTP/1.1 200 OK\nX-Instance-Id: " + id + "\n", new byte[0]));
          continue;
        }
        String expected = request.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
          out.write(
              Http.bytes(
                  "HTTP/1.1 421 Misdirected\nX-Not-Executed: 1\nX-Request-Id: "
                      + request.header("x-request-id")
                      + "\n",
                  new byte[0]));
          continue;
        }
        kept = handler.answer(this, request, out);
      }
    } catch (IOException | InterruptedException ended) {
      // The entry has closed the connection, or the server ends.
    } finally {
      connections.remove(socket);
    }
  }

  private void sendHeartbeats() {
    while (!closed) {
      try {
        sendHeartbeat();
        TimeUnit.MILLISECONDS.sleep(1200);
      } catch (InterruptedException ended) {
        return;
      }
    }
  }

  /** Sends a heartbeat to the control VMs in turn until one acknowledges it. */
  private void sendHeartbeat() {
    Map<String, Object> beat = new LinkedHashMap<>();
    beat.put("service", service);
    beat.put("address", address);
    beat.put("zone", zone);
    beat.put("version", version);
    beat.put("slots", slots);
    beat.put("state", "ready");
    beat.put("cold_remaining_ms", 0);
    beat.put("sequence", ++sequence);
    beat.put("born", born);
    String head =
        "POST /instances/"
            + id
            + "/heartbeat HTTP/1.1\nHost: control\nContent-Type: application/json\n";
    for (Deployment.Daemon control : deployment.controls()) {
      if (acknowledged(control, head, Json.write(beat))) {
        return;
      }
    }
  }

  private static boolean acknowledged(Deployment.Daemon control, String head, String beat) {
    try {
      return Http.call(control.controlAddress(), head, beat.getBytes(), 1000).status() == 200;
    } catch (IOException failed) {
      return false;
    }
  }

  /** Returns the head of a success with the request's id and a seal. */
  String success(Http.Message request) {
    return "HTTP/1.1 200 OK\nX-Request-Id: "
        + request.header("x-request-id")
        + "\nX-Server-Seal: "
        + id
        + "\n";
  }

  boolean isClosed() {
    return closed;
  }

  /** Ends the server: closes its listener and its connections, also within answers. */
  @Override
  public void close() throws IOException {
    closed = true;
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
