import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A configuration whose tenants are a text in place of a list. */
final class UnreadableTenants {

  private static final int ENTRIES = 2;
  private static final int SERVERS = 2;
  private static final int CONFIG_APPLY_MILLIS = 2000;
  private static final int DEADLINE_MILLIS = 1500;
  private static final int REQUESTS = 20;

  private final Journal journal;
  private final boolean trouble;
  private final List<String> ran = new CopyOnWriteArrayList<>();

  private UnreadableTenants(Journal journal, boolean trouble) {
    this.journal = journal;
    this.trouble = trouble;
  }

  public static void main(String[] arguments) {
    Case.run(arguments, (journal, trouble) -> new UnreadableTenants(journal, trouble).run());
  }

  private boolean run() throws Exception {
    boolean acknowledged = false;
    List<String> withoutKey = new ArrayList<>();
    try (Deployment deployment = new Deployment(3, ENTRIES)) {
      deployment.start();
      String tenants = "[{\"name\":\"team-1\",\"api_keys\":[\"key-1\"]}]";
      deployment.operate("POST", "/config/put", configuration(1, tenants));
      for (int index = 1; index <= SERVERS; index++) {
        new StandInServer(
                deployment,
                "i-" + index,
                "lookup",
                6,
                deployment.address(index, 8080),
                (server, head, body, connection, out) -> {
                  ran.add(head.header("x-request-id"));
                  journal.add(
                      server.id()
                          + " runs "
                          + head.header("x-request-id")
                          + " for tenant '"
                          + head.header("x-tenant")
                          + "'");
                  out.write(server.answer("200 OK", head, "", "found"));
                  return true;
                })
            .start();
      }
      deployment.awaitReady();
      Thread.sleep(3000);
      sendAll(deployment, "key-1", new ArrayList<>());
      if (trouble) {
        String answer = deployment.operate("POST", "/config/put", configuration(2, "\"team-1\""));
        journal.add("configuration 2, whose tenants are the text \"team-1\", got " + answer);
        acknowledged = answer.startsWith("2");
      }
      Thread.sleep(CONFIG_APPLY_MILLIS);
      sendAll(deployment, "unknown", withoutKey);
      journal.add("read back: " + deployment.operate("GET", "/config/get", ""));
    }
    long foreign = withoutKey.stream().filter(ran::contains).count();
    boolean broken = acknowledged || foreign > 0;
    String verdict =
        "invalid configuration "
            + (acknowledged ? "acknowledged" : trouble ? "not acknowledged" : "not sent")
            + "; "
            + foreign
            + " of "
            + withoutKey.size()
            + " requests ran with a key that no configuration held: "
            + (broken ? "BROKEN" : "held");
    journal.add(verdict);
    System.out.println(verdict);
    return broken;
  }

  private void sendAll(Deployment deployment, String key, List<String> ids) {
    for (int index = 0; index < REQUESTS; index++) {
      InetSocketAddress entry = deployment.callerAddress(index % ENTRIES);
      String id = Client.newId();
      ids.add(id);
      String head =
          "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: "
              + id
              + "\r\nX-Deadline-Ms: "
              + DEADLINE_MILLIS
              + "\r\nAuthorization: Bearer "
              + key
              + "\r\n\r\n";
      Client.Result result = Client.send(entry, id, head, new byte[0], 2 * DEADLINE_MILLIS);
      journal.add("request " + id + " with the key " + key + " got " + result.status());
    }
  }

  private static String configuration(int version, String tenants) {
    return "{\"version\":"
        + version
        + ",\"routes\":[{\"name\":\"r-look\","
        + "\"host\":\"desk.example\",\"path_prefix\":\"/look/\",\"kind\":\"idempotent\","
        + "\"timeout_ms\":1500,\"target_latency_ms\":300,\"priority\":1,\"service\":\"lookup\","
        + "\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"lookup\","
        + "\"health_path\":\"/healthz\",\"max_connections\":100,"
        + "\"protocol\":\"h1\",\"tls\":false}],"
        + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
        + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":"
        + tenants
        + "}";
  }
}
