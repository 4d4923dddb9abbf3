import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A heartbeat of another writer, which lacks a field, names a server under a wrong service. */
final class ForeignHeartbeat {

  private static final int ENTRIES = 2;
  private static final int SERVERS = 2;
  private static final int SLOTS = 6;
  private static final int PORT = 8080;
  private static final int WORK_MILLIS = 60;
  private static final int DEADLINE_MILLIS = 1500;
  private static final int REQUESTS = 1500;
  private static final int GAP_MILLIS = 8;
  private static final int BEAT_AT = 300;

  private final Journal journal;
  private final boolean trouble;
  private final List<String> wrong = new CopyOnWriteArrayList<>();
  private final AtomicInteger served = new AtomicInteger();

  private ForeignHeartbeat(Journal journal, boolean trouble) {
    this.journal = journal;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) {
    Case.run(arguments, (journal, trouble) -> new ForeignHeartbeat(journal, trouble).run());
  }

  private boolean run() throws Exception {
    try (Deployment deployment = new Deployment(3, ENTRIES)) {
      deployment.start();
      deployment.operate("POST", "/config/put", configuration());
      for (int index = 1; index <= SERVERS; index++) {
        startServer(deployment, "booking", index);
        startServer(deployment, "lookup", SERVERS + index);
      }
      deployment.awaitReady();
      Thread.sleep(6000);
      ExecutorService clients = Executors.newCachedThreadPool();
      Random random = new Random(11);
      journal.add("the load begins");
      for (int index = 0; index < REQUESTS; index++) {
        if (index == BEAT_AT && trouble) {
          sendForeignHeartbeat(deployment);
        }
        String service = index % 2 == 0 ? "booking" : "lookup";
        InetSocketAddress entry = deployment.callerAddress(random.nextInt(ENTRIES));
        clients.submit(() -> send(entry, service));
        Thread.sleep(GAP_MILLIS);
      }
      clients.shutdown();
      clients.awaitTermination(2 * DEADLINE_MILLIS, TimeUnit.MILLISECONDS);
    }
    String verdict =
        wrong.size()
            + " of "
            + REQUESTS
            + " requests were run by a server of another service: "
            + (wrong.isEmpty() ? "held" : "BROKEN")
            + "; "
            + served
            + " answered with success";
    journal.add(verdict);
    System.out.println(verdict);
    return !wrong.isEmpty();
  }

  private void startServer(Deployment deployment, String service, int host) throws Exception {
    new StandInServer(
            deployment,
            "i-" + host,
            service,
            SLOTS,
            deployment.address(host, PORT),
            (server, head, body, connection, out) -> answer(service, server, head, out))
        .start();
  }

  private boolean answer(String service, StandInServer server, Message head, OutputStream out)
      throws Exception {
    String id = head.header("x-request-id");
    boolean isOwn = head.first().contains("/" + service + "/");
    if (!isOwn) {
      wrong.add(id);
      journal.add(server.id() + " of " + service + " runs " + id + ": " + head.first());
    }
    Thread.sleep(WORK_MILLIS);
    out.write(server.answer("200 OK", head, "", service));
    return true;
  }

  /** Reports the first server of the bookings under the other service, without a field. */
  private void sendForeignHeartbeat(Deployment deployment) {
    InetSocketAddress address = deployment.address(1, PORT);
    String beat =
        "{\"service\":\"lookup\",\"address\":\""
            + address.getAddress().getHostAddress()
            + ":"
            + PORT
            + "\",\"zone\":\""
            + Deployment.ZONE
            + "\",\"version\":\"v1\",\"slots\":"
            + SLOTS
            + ",\"state\":\"ready\",\"born\":"
            + System.currentTimeMillis()
            + ",\"sequence\":1}";
    String answer =
        Deployment.call(deployment.controlAddress(0), "POST", "/instances/i-1/heartbeat", beat);
    journal.add("another writer's heartbeat without cold_remaining_ms: " + beat + " got " + answer);
  }

  private void send(InetSocketAddress entry, String service) {
    String id = Client.newId();
    String head =
        "POST /"
            + service
            + "/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
            + id
            + "\r\nX-Deadline-Ms: "
            + DEADLINE_MILLIS
            + "\r\nAuthorization: Bearer key-1\r\nContent-Length: 4\r\n\r\n";
    Client.Result result =
        Client.send(
            entry, id, head, "text".getBytes(StandardCharsets.ISO_8859_1), 2 * DEADLINE_MILLIS);
    if (result.status() == 200) {
      served.incrementAndGet();
    }
    journal.add(
        "request "
            + id
            + " to "
            + service
            + " got "
            + result.status()
            + " "
            + result.end()
            + " "
            + result.body());
  }

  private static String configuration() {
    String route =
        "{\"name\":\"r-NAME\",\"host\":\"desk.example\",\"path_prefix\":\"/NAME/\","
            + "\"kind\":\"non_idempotent\",\"timeout_ms\":"
            + DEADLINE_MILLIS
            + ",\"target_latency_ms\":300,\"priority\":1,\"service\":\"NAME\",\"max_attempts\":1,"
            + "\"public\":false}";
    String service =
        "{\"name\":\"NAME\",\"health_path\":\"/healthz\",\"max_connections\":100,"
            + "\"protocol\":\"h1\",\"tls\":false}";
    return "{\"version\":1,\"routes\":["
        + route.replace("NAME", "booking")
        + ","
        + route.replace("NAME", "lookup")
        + "],\"services\":["
        + service.replace("NAME", "booking")
        + ","
        + service.replace("NAME", "lookup")
        + "],\"limits\":{\"max_header_bytes\":16384,"
        + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
        + "\"tenants\":[{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}]}";
  }
}
