package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BrokenBarrierException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some clients leave while their next request already waits behind the one in progress. Others have
 * bookings in progress at the same entry, on kept connections.
 */
final class LeavingClients extends Case {

  private static final int SPANS = 5;
  private static final int SPAN_MILLIS = 5500;
  private static final int LEAVERS = 20;
  private static final int STAYERS = 68;
  private static final int BOOKERS = 12;
  private static final int LOOKUP_MILLIS = 300;
  private static final int BOOKING_MILLIS = 1500;
  private static final int DEADLINE_MILLIS = 8000;

  /** A rule is broken by more than so many requests that were passed on and cut. */
  private static final int ALLOWED_CUTS = 3;

  private final Set<String> begun = ConcurrentHashMap.newKeySet();
  private final AtomicInteger cuts = new AtomicInteger();
  private final AtomicInteger answers = new AtomicInteger();
  private volatile boolean ended;

  public static void main(String[] arguments) {
    new LeavingClients().run(arguments[0]);
  }

  @Override
  boolean play(Record record) throws Exception {
    try (Deployment deployment = new Deployment(record, 2)) {
      deployment.start();
      deployment.operate("POST", "/config/put", Configuration.of(360, 8000), 30_000);
      for (int index = 0; index < Deployment.ZONES.size(); index++) {
        new Server(
            deployment,
            Configuration.SERVICE,
            "v1",
            40 + index,
            Deployment.ZONES.get(index),
            64,
            (server, request, out) -> answer(record, server, request, out));
      }
      deployment.awaitReady(30_000);
      TimeUnit.SECONDS.sleep(3);
      Deployment.Daemon entry = deployment.entries().get(0);
      List<Future<?>> bookers = new ArrayList<>();
      for (int index = 0; index < BOOKERS; index++) {
        String name = "booking-" + index;
        bookers.add(CLIENTS.submit(() -> book(record, entry, name)));
      }
      for (int span = 0; span < SPANS && entry.process.isAlive(); span++) {
        long end = record.millis() + SPAN_MILLIS;
        for (int round = 0; record.millis() < end && entry.process.isAlive(); round++) {
          playRound(record, entry, span + "." + round);
        }
        TimeUnit.MILLISECONDS.sleep(1000);
      }
      ended = true;
      for (Future<?> booker : bookers) {
        booker.get(20, TimeUnit.SECONDS);
      }
      if (!entry.process.isAlive()) {
        record.add(entry.name + " ended by itself with status " + entry.process.exitValue());
        entry
            .log()
            .lines()
            .filter(line -> line.contains("ERROR"))
            .limit(3)
            .forEach(line -> record.add("its log: " + line));
      }
      record.add(answers + " bookings answered, " + cuts + " passed on and cut without an answer");
      return cuts.get() > ALLOWED_CUTS;
    }
  }

  private boolean answer(Record record, Server server, Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.header("x-request-id");
    boolean isBooking = id.startsWith("booking");
    record.add(server.id + " runs " + id);
    begun.add(id);
    TimeUnit.MILLISECONDS.sleep(
        isBooking ? BOOKING_MILLIS : id.startsWith("leaver") ? LOOKUP_MILLIS : 5);
    out.write(Http.bytes(server.success(request), "done".getBytes()));
    return true;
  }

  /** Sends bookings one after the other on one kept connection, until it is closed. */
  private void book(Record record, Deployment.Daemon entry, String name) {
    String id = "";
    try (Socket socket = Http.connect(entry.front(), 1000)) {
      for (int number = 0; !ended; number++) {
        id = name + "-" + number;
        record.add(id + " is sent");
        String head = Configuration.request("POST", Configuration.BOOKING, id, DEADLINE_MILLIS);
        socket.getOutputStream().write(Http.bytes(head, "a slot".getBytes()));
        Http.Message answer = Http.read(socket.getInputStream());
        answers.incrementAndGet();
        record.add(id + " is answered " + answer.start());
      }
    } catch (IOException closed) {
      boolean passedOn = begun.contains(id);
      cuts.addAndGet(passedOn ? 1 : 0);
      record.add(id + " has no answer, passed on=" + passedOn + ": " + closed.getMessage());
    }
  }

  /** All clients of a round send at the same moment; a fifth of them leave. */
  private void playRound(Record record, Deployment.Daemon entry, String round) throws Exception {
    CyclicBarrier start = new CyclicBarrier(LEAVERS + STAYERS);
    List<Future<?>> clients = new ArrayList<>();
    for (int index = 0; index < LEAVERS + STAYERS; index++) {
      String id = (index < LEAVERS ? "leaver-" : "stayer-") + round + "-" + index;
      boolean leaves = index < LEAVERS;
      clients.add(CLIENTS.submit(() -> lookUp(record, entry, id, start, leaves)));
    }
    int answered = 0;
    for (Future<?> client : clients) {
      answered += Boolean.TRUE.equals(client.get(20, TimeUnit.SECONDS)) ? 1 : 0;
    }
    record.add("round " + round + ": " + answered + " of " + clients.size() + " look-ups answered");
  }

  /**
   * Sends look-ups: a stayer one, a leaver two of which the second waits for the answer of the
   * first. Returns whether all answers came.
   */
  private boolean lookUp(
      Record record, Deployment.Daemon entry, String id, CyclicBarrier start, boolean leaves)
      throws Exception {
    try (Socket socket = Http.connect(entry.front(), 1000)) {
      start.await(5, TimeUnit.SECONDS);
      record.add(id + " is sent");
      send(socket, id);
      if (leaves) {
        record.add(id + "-next is sent on the same connection");
        send(socket, id + "-next");
        if (isTroubled()) {
          // The client loses patience at about the moment at which the answer is due.
          long micros = LOOKUP_MILLIS * 1000L + ThreadLocalRandom.current().nextLong(-3000, 4000);
          TimeUnit.MICROSECONDS.sleep(micros);
          record.add(id + " leaves");
          return false;
        }
      }
      InputStream in = socket.getInputStream();
      boolean whole = Http.read(in).status() == 200;
      return leaves ? whole & Http.read(in).status() == 200 : whole;
    } catch (IOException | BrokenBarrierException | TimeoutException closed) {
      return false;
    }
  }

  private static void send(Socket socket, String id) throws IOException {
    String head = Configuration.request("GET", Configuration.LOOKUP, id, DEADLINE_MILLIS);
    socket.getOutputStream().write(Http.bytes(head, new byte[0]));
  }
}
