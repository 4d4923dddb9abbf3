package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A server is replaced while bookings wait at the entries for one of its connections. It says that
 * it is draining, goes on serving for its drain timeout and a little longer, and ends.
 */
final class Draining extends Case {

  private static final int MAX_CONNECTIONS = 10;
  private static final int BOOKERS = 96;
  private static final int WORK_MILLIS = 1000;
  private static final int DEADLINE_MILLIS = 15_000;
  private static final int DRAIN_TIMEOUT_MILLIS = 2000;

  /** Time from the acknowledgement to the end of the draining server. */
  private static final int LINGER_MILLIS = DRAIN_TIMEOUT_MILLIS + 1500;

  private static final int STEADY_MILLIS = 8000;
  private static final int AFTER_MILLIS = 4000;

  private final AtomicLong acknowledgedAt = new AtomicLong(Long.MAX_VALUE);
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private volatile boolean ended;

  public static void main(String[] arguments) {
    new Draining().run(arguments[0]);
  }

  @Override
  boolean play(Record record) throws Exception {
    try (Deployment deployment = new Deployment(record, 2)) {
      deployment.start();
      String configuration = Configuration.of(1, MAX_CONNECTIONS, DEADLINE_MILLIS);
      deployment.operate("POST", "/config/put", configuration, 30_000);
      List<Server> servers = new ArrayList<>();
      for (int index = 0; index < Deployment.ZONES.size(); index++) {
        servers.add(server(deployment, record, index, servers));
      }
      deployment.awaitReady(30_000);
      TimeUnit.SECONDS.sleep(3);
      List<Future<?>> bookers = new ArrayList<>();
      for (int index = 0; index < BOOKERS; index++) {
        Deployment.Daemon entry = deployment.entries().get(index % 2);
        String name = "booking-" + index;
        bookers.add(CLIENTS.submit(() -> book(record, entry, name)));
      }
      TimeUnit.MILLISECONDS.sleep(STEADY_MILLIS);
      if (isTroubled()) {
        servers.add(server(deployment, record, servers.size(), servers));
        servers.get(0).drain();
        acknowledgedAt.set(record.millis());
      }
      TimeUnit.MILLISECONDS.sleep(LINGER_MILLIS);
      if (isTroubled()) {
        record.add(servers.get(0).id + " ends");
        servers.get(0).close();
      }
      TimeUnit.MILLISECONDS.sleep(AFTER_MILLIS);
      ended = true;
      for (Future<?> booker : bookers) {
        booker.get(30, TimeUnit.SECONDS);
      }
      record.add(
          late
              + " requests reached the draining server later than "
              + DRAIN_TIMEOUT_MILLIS
              + " ms after the acknowledgement; "
              + answered
              + " bookings answered with success, "
              + refused
              + " refused as not run, "
              + lost
              + " with another or no answer");
      return late.get() > 0;
    }
  }

  private Server server(Deployment deployment, Record record, int index, List<Server> servers)
      throws IOException {
    return new Server(
        deployment,
        record,
        Configuration.SERVICE,
        "v1",
        40 + index,
        Deployment.ZONES.get(index % Deployment.ZONES.size()),
        MAX_CONNECTIONS,
        (server, request, out) -> {
          long sinceAck = record.millis() - acknowledgedAt.get();
          boolean isLate = server == servers.get(0) && sinceAck > DRAIN_TIMEOUT_MILLIS;
          late.addAndGet(isLate ? 1 : 0);
          record.add(
              server.id
                  + " runs "
                  + request.header("x-request-id")
                  + (isLate ? ", " + sinceAck + " ms after its draining was acknowledged" : ""));
          TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
          out.write(Http.bytes(server.success(request), "done".getBytes()));
          return true;
        });
  }

  /** Sends bookings one after the other, each on a connection of its own. */
  private void book(Record record, Deployment.Daemon entry, String name) {
    for (int number = 0; !ended; number++) {
      String id = name + "-" + number;
      String head = Configuration.request("POST", Configuration.BOOKING, id, DEADLINE_MILLIS);
      record.add(id + " is sent to " + entry.name);
      try {
        Http.Message answer = Http.call(entry.front(), head, "a slot".getBytes(), DEADLINE_MILLIS);
        record.add(id + " is answered " + answer.start());
        count(answer.status()).incrementAndGet();
        if (answer.status() == 503) {
          TimeUnit.MILLISECONDS.sleep(500);
        }
      } catch (IOException failed) {
        lost.incrementAndGet();
        record.add(id + " has no answer: " + failed.getMessage());
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private AtomicInteger count(int status) {
    return status == 200 ? answered : status == 503 ? refused : lost;
  }
}
