package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of upstreams that send bytes without end. A request that only its deadline ends is answered
 * with 504.
 */
public final class EndlessAnswerNodeTest extends RelayNodeHarness {

  /** Prefix of the ids of requests that are answered at once. */
  private static final String PLAIN = "plain-";

  private static final String STATUS_LINE = "HTTP/1.1 200 OK\r\n";
  private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";
  private static final String BLOCK = "x".repeat(16 * 1024);

  /** Length of an answer, of which an entry buffers two but not three. */
  private static final int THIRD_BYTES = 12 << 20;

  /** Length of an answer that is long and passes. */
  private static final int LONG_BYTES = 15 << 20;

  private static final int END_OF_HEAD_BYTES = 4;
  private static final int STATUS_START = "HTTP/1.1 ".length();
  private static final int STATUS_END = "HTTP/1.1 200".length();

  private static String head(String requestId, String lines) {
    return STATUS_LINE + "X-Request-Id: " + requestId + "\r\n" + lines + "\r\n";
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  /** What an upstream sends at first, with ID for the request's id, and then repeats. */
  private record Endless(String name, String start, String repeated) {
    @Override
    public String toString() {
      return name;
    }
  }

  private static List<Endless> endlessAnswers() {
    String longest = "Content-Length: " + Long.MAX_VALUE + "\r\n";
    String error = "HTTP/1.1 500 Any\r\nX-Request-Id: ID\r\n\r\n";
    String interim = "HTTP/1.1 103 Early Hints\r\n";
    return List.of(
        new Endless("body without framing", head("ID", ""), BLOCK),
        new Endless("body with a length", head("ID", longest), BLOCK),
        new Endless("body in chunks", head("ID", CHUNKED), chunk(BLOCK)),
        new Endless("body of an error", error, BLOCK),
        new Endless("interim answers", "", interim + "\r\n"),
        new Endless("interim answers with headers", "", interim + "Link: x\r\n\r\n"),
        new Endless("body of another request", head("foreign", ""), BLOCK),
        new Endless("chunks of another request", head("foreign", CHUNKED), chunk(BLOCK)),
        new Endless("blank lines", "", "\r\n"),
        new Endless("status line", "HTTP/1.1 200 ", BLOCK),
        new Endless("no answer", "", BLOCK),
        new Endless("header", head("ID", "").strip() + "\r\nLong: ", BLOCK),
        new Endless("headers", head("ID", "").strip() + "\r\n", "Header: x\r\n"),
        new Endless("chunk extension", head("ID", CHUNKED) + "1;a=", BLOCK),
        new Endless("chunk size", head("ID", CHUNKED), "0"),
        new Endless("trailers", head("ID", CHUNKED) + "0\r\n", "Trailer: x\r\n"));
  }

  /** Returns each endless plain answer with a path of each kind of request. */
  @DataProvider
  public static Object[][] answersAndPaths() {
    return endlessAnswers().stream()
        .flatMap(
            answer -> Stream.of("/lookup/x", "/book/x").map(path -> new Object[] {answer, path}))
        .toArray(Object[][]::new);
  }

  /** Returns streams whose first event has no end. */
  @DataProvider
  public static Object[][] endlessEvents() {
    String start = head("ID", "Content-Type: text/event-stream\r\n" + CHUNKED);
    return new Object[][] {
      {new Endless("event", start + chunk("id: 1\ndata: "), chunk(BLOCK))},
      {new Endless("comment", start + chunk(":"), chunk(BLOCK))},
      {new Endless("chunk extension", start + "1;a=", BLOCK)},
      {new Endless("error of a stream", start.replace("200 OK", "500 Any"), chunk(BLOCK))},
    };
  }

  /** Guards against an upstream that takes an entry's memory and holds its caller for good. */
  @Test(dataProvider = "answersAndPaths")
  public void endlessAnswerFailsItsAttemptAlone(Endless answer, String path) throws Exception {
    AtomicInteger runs = new AtomicInteger();
    CountDownLatch closed = new CountDownLatch(1);
    ScriptedUpstream.Script script = endlessOnce(answer, runs, closed, "whole");
    serveWith(script, script);
    awaitUpstreams(2);
    String received = exchange(path, "endless", "body");
    boolean idempotent = path.startsWith("/lookup/");
    String expected = idempotent ? "HTTP/1.1 200" : "HTTP/1.1 502";
    assertTrue(received.startsWith(expected), received);
    assertEquals(runs.get(), idempotent ? 2 : 1);
    closed.await();
    assertTrue(exchange(path, PLAIN + "last", "body").endsWith("whole"));
  }

  /** Guards against a stream that isn't continued elsewhere after an event without end. */
  @Test(dataProvider = "endlessEvents")
  public void streamWithAnEndlessEventIsContinuedElsewhere(Endless stream) throws Exception {
    AtomicInteger runs = new AtomicInteger();
    CountDownLatch closed = new CountDownLatch(1);
    ScriptedUpstream.Script script = endlessOnce(stream, runs, closed, "whole");
    serveWith(script, script);
    awaitUpstreams(2);
    String received = exchange("/stream/x", "endless", "body");
    assertTrue(received.startsWith("HTTP/1.1 200"), received);
    assertTrue(received.contains("whole"), received);
    closed.await();
    assertEquals(runs.get(), 2);
  }

  /** Answers one request that isn't plain without end, and all others at once. */
  private static ScriptedUpstream.Script endlessOnce(
      Endless answer, AtomicInteger runs, CountDownLatch closed, String whole) {
    return (requestNumber, head, out) -> {
      String id = ScriptedUpstream.requestIdIn(head);
      boolean plain = id.startsWith(PLAIN);
      if (!plain && runs.incrementAndGet() == 1) {
        try {
          writeForGood(out, answer.start().replace("ID", id), answer.repeated());
        } finally {
          closed.countDown();
        }
      }
      if (plain || !head.contains(" /stream/")) {
        out.write(ScriptedUpstream.response(head, 200, whole));
      } else {
        out.write(ScriptedUpstream.streamHead(head));
        out.write(ScriptedUpstream.chunk("id: 1\ndata: " + whole + "\n\n"));
        out.write(ScriptedUpstream.bytes("0\r\n\r\n"));
      }
      return true;
    };
  }

  /** Guards against a bound that honest long answers exceed. */
  @Test
  public void longAnswerIsWhole() throws Exception {
    String body = "x".repeat(LONG_BYTES);
    serveWith(
        (requestNumber, head, out) -> {
          boolean plain = ScriptedUpstream.requestIdIn(head).startsWith(PLAIN);
          out.write(ScriptedUpstream.response(head, 200, plain ? "whole" : body));
          return true;
        });
    awaitUpstreams(1);
    String answer = new String(post("/book/x", "long"), StandardCharsets.ISO_8859_1);
    assertTrue(answer.startsWith("HTTP/1.1 200"));
    assertEquals(answer.length() - answer.indexOf("\r\n\r\n") - END_OF_HEAD_BYTES, LONG_BYTES);
  }

  /** Guards against answers that exceed an entry's memory together and not alone. */
  @Test
  public void largestAnswerIsGivenUpWhenBuffersAreFull() throws Exception {
    CountDownLatch oneFailed = new CountDownLatch(1);
    String almost = "x".repeat(THIRD_BYTES - 1);
    serveWith(
        (requestNumber, head, out) -> {
          if (ScriptedUpstream.requestIdIn(head).startsWith(PLAIN)) {
            out.write(ScriptedUpstream.response(head, 200, "whole"));
            return true;
          }
          String framing = "Content-Length: " + THIRD_BYTES + "\r\n";
          out.write(ScriptedUpstream.bytes(head(ScriptedUpstream.requestIdIn(head), framing)));
          out.write(ScriptedUpstream.bytes(almost));
          awaitUninterruptibly(oneFailed);
          out.write('x');
          return true;
        });
    awaitUpstreams(1);
    List<CompletableFuture<Integer>> statuses =
        IntStream.range(0, 3)
            .mapToObj(
                index -> CompletableFuture.supplyAsync(() -> statusOf("/book/x", "big-" + index)))
            .toList();
    CompletableFuture.anyOf(statuses.toArray(CompletableFuture<?>[]::new)).join();
    String other = exchange("/lookup/x", PLAIN + "other", "body");
    oneFailed.countDown();
    List<Integer> sorted = statuses.stream().map(CompletableFuture::join).sorted().toList();
    assertEquals(sorted, List.of(200, 200, 502));
    assertTrue(other.endsWith("whole"), other);
  }

  private static void writeForGood(OutputStream out, String start, String repeated)
      throws IOException {
    out.write(ScriptedUpstream.bytes(start));
    int times = Math.max(1, BLOCK.length() / repeated.length());
    byte[] block = ScriptedUpstream.bytes(repeated.repeat(times));
    while (true) {
      out.write(block);
    }
  }

  /** Sends requests until each upstream has received one. */
  private void awaitUpstreams(int count) throws IOException {
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      if (upstreams.stream().filter(one -> !one.heads().isEmpty()).count() == count) {
        return;
      }
      sendUntilServed("/lookup/x", PLAIN + tries);
    }
    throw new AssertionError("an upstream received no request");
  }

  private byte[] post(String path, String id) throws IOException {
    String request =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: "
            + id
            + "\r\nAuthorization: Bearer key\r\nConnection: close\r\n"
            + "Content-Length: 4\r\n\r\nbody";
    try (Socket socket = new Socket(LOOPBACK, node().callerAddress().getPort())) {
      socket.getOutputStream().write(ScriptedUpstream.bytes(request));
      return socket.getInputStream().readAllBytes();
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private int statusOf(String path, String id) {
    try {
      byte[] answer = post(path, id);
      return Integer.parseInt(
          new String(answer, 0, STATUS_END, StandardCharsets.US_ASCII).substring(STATUS_START));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
