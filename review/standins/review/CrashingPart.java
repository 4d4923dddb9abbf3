package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * One part of prompts crashes each server that begins to write an answer on it. Requests with it
 * come at any entry, no two alike; sound ones share their caller and their first part.
 */
final class CrashingPart extends Case {

  private static final int SERVERS = 6;
  private static final int ENTRIES = 3;
  private static final int PLAY_MILLIS = 30_000;
  private static final int BAD_INTERVAL_MILLIS = 200;
  private static final int SOUND_INTERVAL_MILLIS = 50;
  private static final int PREFILL_MILLIS = 80;

  /** Longest time in which a sound answer is written. */
  private static final int MAX_ANSWER_MILLIS = 600;

  private static final int DOWN_MILLIS = 3000;
  private static final int CONTACT_MILLIS = 3000;
  private static final int CRASHES = 5;
  private static final int ALLOWED_LATE = 3;
  private static final String FIRST_PART = "5c1e07a2:800";
  private static final String BAD_PART = "91bd3f06:410";

  private final AtomicInteger crashes = new AtomicInteger();
  private final AtomicLong fifthAt = new AtomicLong(Long.MAX_VALUE / 2);
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger badSent = new AtomicInteger();
  private final AtomicInteger soundSent = new AtomicInteger();
  private final AtomicInteger soundServed = new AtomicInteger();
  private volatile boolean ended;

  public static void main(String[] arguments) {
    new CrashingPart().run(arguments[0]);
  }

  @Override
  boolean play(Record record) throws Exception {
    try (Deployment deployment = new Deployment(record, ENTRIES)) {
      deployment.start();
      deployment.operate("POST", "/config/put", configuration(), 30_000);
      for (int index = 0; index < SERVERS; index++) {
        startServer(deployment, record, index);
      }
      deployment.awaitReady(30_000);
      TimeUnit.SECONDS.sleep(5);
      long end = record.millis() + PLAY_MILLIS;
      CLIENTS.submit(() -> sendSound(deployment, record, end));
      TimeUnit.SECONDS.sleep(3);
      for (int number = 0; record.millis() < end; number++) {
        String id = "bad-" + number;
        Deployment.Daemon entry = deployment.entries().get(number % ENTRIES);
        badSent.incrementAndGet();
        record.add(id + " is sent to " + entry.name);
        CLIENTS.submit(() -> ask(record, entry, id, FIRST_PART + "," + BAD_PART));
        TimeUnit.MILLISECONDS.sleep(BAD_INTERVAL_MILLIS);
      }
      ended = true;
      TimeUnit.SECONDS.sleep(2);
      record.add(
          crashes
              + " crashes; "
              + badSent
              + " requests with the part sent, "
              + late
              + " arrivals later than "
              + CONTACT_MILLIS
              + " ms after the fifth crash; "
              + soundServed
              + " of "
              + soundSent
              + " sound requests served");
      return late.get() > ALLOWED_LATE;
    }
  }

  private static String configuration() {
    Map<String, Object> engine = new LinkedHashMap<>();
    engine.put("slots", 64);
    engine.put("kv_capacity_tokens", 592_506);
    engine.put("token_kv_bytes", 18_432);
    engine.put("link_mbps", 550_000.0);
    engine.put("models", List.of(Map.of("name", "daka510000", "cost", 0.018)));
    return Configuration.streaming(engine);
  }

  private void startServer(Deployment deployment, Record record, int index) throws IOException {
    Server started =
        new Server(
            deployment,
            Configuration.SERVICE,
            "v1",
            40 + index,
            Deployment.ZONES.get(index % Deployment.ZONES.size()),
            64,
            (server, request, out) -> answer(deployment, record, index, server, request, out));
    record.add("server " + started.id + " is up");
  }

  private boolean answer(
      Deployment deployment,
      Record record,
      int index,
      Server server,
      Http.Message request,
      OutputStream out)
      throws IOException, InterruptedException {
    String id = request.header("x-request-id");
    boolean bad = request.header("x-prompt-prefix").contains(BAD_PART);
    if (!bad) {
      record.add(server.id + " begins " + id);
    } else {
      boolean isLate = record.millis() > fifthAt.get() + CONTACT_MILLIS;
      late.addAndGet(isLate ? 1 : 0);
      record.add(server.id + " begins " + id + (isLate ? " LATE" : ""));
    }
    TimeUnit.MILLISECONDS.sleep(PREFILL_MILLIS);
    if (bad && isTroubled()) {
      crash(deployment, record, index, server, id);
      return false;
    }
    int events = 6;
    long pause = ThreadLocalRandom.current().nextLong(MAX_ANSWER_MILLIS + 1) / events;
    String head = server.success(request).replace("\n", "\r\n");
    out.write(
        (head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .getBytes());
    for (int event = 1; event <= events; event++) {
      String text = "id: " + event + "\ndata: word\n\n";
      out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes());
      TimeUnit.MILLISECONDS.sleep(pause);
    }
    out.write("0\r\n\r\n".getBytes());
    return true;
  }

  private synchronized void crash(
      Deployment deployment, Record record, int index, Server server, String id)
      throws IOException {
    if (server.isClosed()) {
      return;
    }
    int number = crashes.incrementAndGet();
    if (number == CRASHES) {
      fifthAt.set(record.millis());
    }
    record.add("crash " + number + ": " + server.id + " under " + id);
    server.close();
    CLIENTS.submit(
        () -> {
          TimeUnit.MILLISECONDS.sleep(DOWN_MILLIS);
          if (!ended) {
            startServer(deployment, record, index);
          }
          return null;
        });
  }

  private void sendSound(Deployment deployment, Record record, long end) {
    try {
      for (int number = 0; record.millis() < end; number++) {
        String id = "sound-" + number;
        Deployment.Daemon entry = deployment.entries().get(number % ENTRIES);
        soundSent.incrementAndGet();
        record.add(id + " is sent to " + entry.name);
        CLIENTS.submit(() -> ask(record, entry, id, FIRST_PART));
        TimeUnit.MILLISECONDS.sleep(SOUND_INTERVAL_MILLIS);
      }
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  private void ask(Record record, Deployment.Daemon entry, String id, String parts) {
    String head =
        Configuration.request("POST", Configuration.LOOKUP, id, 8000)
            + "X-Model: daka510000\nX-Token-Count: 1260,80\nX-Prompt-Prefix: "
            + parts
            + ","
            + Integer.toHexString(id.hashCode())
            + ":50\n";
    try (Socket socket = Http.connect(entry.front(), 1000)) {
      socket.setSoTimeout(9000);
      socket.getOutputStream().write(Http.bytes(head, id.getBytes()));
      Http.Message answer = Http.read(socket.getInputStream());
      boolean served = answer.status() == 200;
      soundServed.addAndGet(served && id.startsWith("sound") ? 1 : 0);
      record.add(id + " is answered " + answer.start());
    } catch (IOException failed) {
      record.add(id + " has no whole answer: " + failed.getMessage());
    }
  }
}
