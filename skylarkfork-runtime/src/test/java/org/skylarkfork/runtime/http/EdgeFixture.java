package org.skylarkfork.runtime.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.membership.EntryListing;
import org.skylarkfork.core.request.AnswerMetadata;
import org.skylarkfork.core.request.Usage;
import org.skylarkfork.runtime.loop.Journal;
import org.skylarkfork.runtime.loop.ReducerLoop;

/** A callers' listener on loopback over a reducer that answers as a test says. */
final class EdgeFixture implements AutoCloseable {

  static final int MAX_LINE = 512;
  static final int MAX_HEADERS = 2_048;
  static final int MAX_BODY = 4_096;
  static final String CHAT =
      "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]}";

  /** Caller's events in order; only these say that upstream work could begin. */
  final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

  private final ReducerLoop loop;
  private final CallerServer server;
  private final InetSocketAddress address;

  EdgeFixture(Function<Event, List<? extends Effect>> answers) {
    InstantSource clock = InstantSource.system();
    loop = new ReducerLoop(clock, this::execute, Journal.NONE, failure -> {});
    AtomicInteger ids = new AtomicInteger();
    server =
        new CallerServer(
            new HttpSettings(
                "127.0.0.1",
                0,
                MAX_LINE,
                MAX_HEADERS,
                MAX_BODY,
                Duration.ofMillis(400),
                Duration.ofSeconds(30),
                Duration.ofSeconds(30)),
            loop,
            new Queries(),
            clock,
            () -> "r" + ids.incrementAndGet(),
            new ObjectMapper());
    loop.start(
        new Reducer(
            List.of(
                (event, now, output) -> {
                  if (event instanceof CallerEvent) {
                    events.add(event);
                    answers.apply(event).forEach(output::effect);
                  }
                })));
    address = server.start();
  }

  /** A listener whose requests are all answered with a short draft. */
  static EdgeFixture answering() {
    return new EdgeFixture(
        event ->
            event instanceof CallerEvent.RequestReceived received
                ? List.of(draft(received.request().requestId()))
                : List.of());
  }

  static CallerEffect draft(String id) {
    return new CallerEffect.SendDraft(id, "offside", "stop", Usage.NONE, facts(id));
  }

  static AnswerMetadata facts(String id) {
    return new AnswerMetadata(id, "m", "1", "e1", 1, 5, null, null);
  }

  private void execute(Effect effect) {
    server.execute((CallerEffect) effect);
  }

  void executeLater(CallerEffect effect) {
    server.execute(effect);
  }

  Event next() throws InterruptedException {
    return events.poll(20, TimeUnit.SECONDS);
  }

  Socket open() throws IOException {
    Socket socket = new Socket(address.getAddress(), address.getPort());
    socket.setSoTimeout(20_000);
    return socket;
  }

  /** Sends text on a new connection and returns all that comes back until the connection ends. */
  String exchange(String text) throws IOException {
    try (Socket socket = open()) {
      send(socket, text);
      return readAll(socket);
    }
  }

  static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    socket.getOutputStream().flush();
  }

  /** Reads until the end of the stream; a reset ends it too, with what came before. */
  static String readAll(Socket socket) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    try {
      for (int one = socket.getInputStream().read();
          one >= 0;
          one = socket.getInputStream().read()) {
        all.write(one);
      }
    } catch (java.net.SocketTimeoutException silent) {
      throw new AssertionError("the connection stayed open after: " + all, silent);
    } catch (IOException reset) {
      // The bytes so far are what the caller got.
    }
    return all.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads until a text has come. */
  static String readUntil(Socket socket, String end) throws IOException {
    StringBuilder all = new StringBuilder();
    while (all.indexOf(end) < 0) {
      int one = socket.getInputStream().read();
      if (one < 0) {
        throw new AssertionError("ended before '" + end + "': " + all);
      }
      all.append((char) one);
    }
    return all.toString();
  }

  static String post(String headers, String body) {
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
        + headers
        + "\r\n"
        + body;
  }

  static String whole(String headers, String body) {
    return post("Content-Length: " + body.length() + "\r\n" + headers, body);
  }

  @Override
  public void close() {
    server.close();
    loop.close();
  }

  /** Answers of a daemon that serves. */
  static final class Queries implements EdgeQueries {
    @Override
    public CompletableFuture<Long> announceMillis() {
      return CompletableFuture.completedFuture(1000L);
    }

    @Override
    public CompletableFuture<ModelList> models(String keyHash) {
      return CompletableFuture.failedFuture(new IllegalStateException("a fault"));
    }

    @Override
    public CompletableFuture<Object> entries() {
      return CompletableFuture.completedFuture(new EntryListing.EntryPage(List.of(), 10_500));
    }

    @Override
    public CompletableFuture<Readiness> readiness() {
      return CompletableFuture.completedFuture(new Readiness(true, "", 1));
    }
  }
}
