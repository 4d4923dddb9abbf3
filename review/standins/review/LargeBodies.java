package review;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients come at once with bodies that are as long as the configuration allows. Others send small
 * bookings to the same entry.
 */
final class LargeBodies extends Case {

  private static final int UPLOADERS = 30;
  private static final int BODY_BYTES = 4_000_000;
  private static final int PIECE_BYTES = 40_000;

  /** Time in which a client sends its body: 16 Mbit/s for each, half of the entry's link for all. */
  private static final int UPLOAD_MILLIS = 2000;

  private static final int UPLOAD_DEADLINE_MILLIS = 8000;
  private static final int BOOKERS = 16;
  private static final int TIMEOUT_MILLIS = 1500;
  private static final int GRACE_MILLIS = 500;
  private static final int WORK_MILLIS = 80;

  /** The rule is broken by so many bookings or more without a final answer. */
  private static final int MIN_UNANSWERED = 8;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger longer = new AtomicInteger();
  private final AtomicInteger unanswered = new AtomicInteger();
  private volatile boolean ended;

  public static void main(String[] arguments) {
    new LargeBodies().run(arguments[0]);
  }

  @Override
  boolean play(Record record) throws Exception {
    try (Deployment deployment = new Deployment(record, 2)) {
      deployment.start();
      String configuration = Configuration.of(360, UPLOAD_DEADLINE_MILLIS, TIMEOUT_MILLIS);
      deployment.operate("POST", "/config/put", configuration, 30_000);
      for (int index = 0; index < Deployment.ZONES.size(); index++) {
        new Server(
            deployment,
            record,
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
      TimeUnit.SECONDS.sleep(2);
      List<Future<?>> uploaders = new ArrayList<>();
      for (int index = 0; index < UPLOADERS; index++) {
        String id = "upload-" + index;
        Future<?> uploader = CLIENTS.submit(() -> upload(record, entry, id));
        uploaders.add(uploader);
        if (!isTroubled() && index % 4 == 3) {
          uploader.get(30, TimeUnit.SECONDS);
        }
      }
      for (Future<?> uploader : uploaders) {
        uploader.get(60, TimeUnit.SECONDS);
      }
      TimeUnit.SECONDS.sleep(3);
      ended = true;
      for (Future<?> booker : bookers) {
        booker.get(20, TimeUnit.SECONDS);
      }
      entry
          .log()
          .lines()
          .filter(line -> line.contains("OutOfMemoryError"))
          .limit(3)
          .forEach(line -> record.add("log of " + entry.name + ": " + line));
      record.add(
          answered
              + " bookings answered; "
              + longer
              + " lasted longer than their route's timeout, "
              + unanswered
              + " of them had no final answer "
              + GRACE_MILLIS
              + " ms after it");
      return unanswered.get() >= MIN_UNANSWERED && 4 * unanswered.get() > longer.get();
    }
  }

  private static boolean answer(
      Record record, Server server, Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    record.add(
        server.id
            + " runs "
            + request.header("x-request-id")
            + " with a body of "
            + request.body().length);
    TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
    out.write(Http.bytes(server.success(request), "done".getBytes()));
    return true;
  }

  /** Sends bookings one after the other on a kept connection, and on a new one after a failure. */
  private void book(Record record, Deployment.Daemon entry, String name) {
    for (int connection = 0; !ended; connection++) {
      String id = "";
      long sentAt = record.millis();
      try (Socket socket = Http.connect(entry.front(), 1000)) {
        socket.setSoTimeout(TIMEOUT_MILLIS + GRACE_MILLIS);
        for (int number = 0; !ended; number++) {
          id = name + "-" + connection + "-" + number;
          sentAt = record.millis();
          record.add(id + " is sent");
          String head = Configuration.request("POST", Configuration.BOOKING, id, 3000);
          socket.getOutputStream().write(Http.bytes(head, "a slot".getBytes()));
          Http.Message answer = Http.read(socket.getInputStream());
          long millis = record.millis() - sentAt;
          answered.incrementAndGet();
          longer.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
          record.add(id + " is answered " + answer.start() + " after " + millis + " ms");
          TimeUnit.MILLISECONDS.sleep(100);
        }
      } catch (SocketTimeoutException late) {
        if (!id.isEmpty()) {
          longer.incrementAndGet();
          unanswered.incrementAndGet();
          record.add(id + " has no answer " + (record.millis() - sentAt) + " ms after it was sent");
        }
      } catch (IOException closed) {
        record.add(id + " has no answer: " + closed.getMessage());
      } catch (InterruptedException interrupted) {
        return;
      }
    }
  }

  private void upload(Record record, Deployment.Daemon entry, String id) {
    try (Socket socket = Http.connect(entry.front(), 1000)) {
      socket.setSoTimeout(UPLOAD_DEADLINE_MILLIS);
      OutputStream out = socket.getOutputStream();
      String head =
          Configuration.request("GET", Configuration.LOOKUP, id, UPLOAD_DEADLINE_MILLIS)
              .replace("GET ", "POST ");
      byte[] request = Http.bytes(head, new byte[BODY_BYTES]);
      record.add(id + " is sent, " + BODY_BYTES + " bytes");
      long startedAt = record.millis();
      for (int sent = 0; sent < request.length; sent += PIECE_BYTES) {
        long due = startedAt + (long) UPLOAD_MILLIS * sent / request.length;
        TimeUnit.MILLISECONDS.sleep(Math.max(0, due - record.millis()));
        out.write(request, sent, Math.min(PIECE_BYTES, request.length - sent));
      }
      Http.Message answer = Http.read(socket.getInputStream());
      record.add(id + " is answered " + answer.start());
    } catch (IOException failed) {
      record.add(id + " has no answer: " + failed.getMessage());
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }
}
