package org.skylarkfork.runtime.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.effect.CallerEffect;
import org.skylarkfork.core.error.ErrorKind;
import org.skylarkfork.core.error.RoutingError;
import org.skylarkfork.core.event.CallerEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.RunState;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link CallerServer} over raw connections on loopback. */
public class CallerServerTest {

  private static final String CLOSE = "Connection: close\r\n";
  private static final String GET = "GET /v1/entries HTTP/1.1\r\nHost: x\r\n";

  private EdgeFixture edge;

  /** Opens the listener that all refusals go to. */
  @BeforeClass
  public void open() {
    edge = EdgeFixture.answering();
  }

  /** Closes it. */
  @AfterClass
  public void close() {
    edge.close();
  }

  @DataProvider
  Object[][] refusals() {
    String chat = EdgeFixture.CHAT;
    String big = "x".repeat(EdgeFixture.MAX_BODY + 1);
    String chunk = Integer.toHexString(big.length()) + "\r\n" + big + "\r\n0\r\n\r\n";
    String noKey = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + CLOSE;
    return new Object[][] {
      {"malformed JSON", EdgeFixture.whole(CLOSE, "{\"model\":"), 400, "not JSON"},
      {"two values", EdgeFixture.whole(CLOSE, chat + "{}"), 400, "JSON"},
      {"deep JSON", EdgeFixture.whole(CLOSE, "[".repeat(3000)), 400, "JSON"},
      {"no model", EdgeFixture.whole(CLOSE, "{\"messages\":[{\"role\":\"u\"}]}"), 400, "'model'"},
      {"no key", noKey + "Content-Length: 2\r\n\r\n{}", 401, "Bearer"},
      {"long line", "GET /" + "a".repeat(600) + " HTTP/1.1\r\nHost: x\r\n\r\n", 414, "line"},
      {"long headers", GET + "A: " + "a".repeat(3000) + "\r\n\r\n", 431, "headers"},
      {"declared body", EdgeFixture.post(CLOSE + "Content-Length: 99999\r\n", ""), 413, "longer"},
      {"chunked body", EdgeFixture.post(CLOSE + "Transfer-Encoding: chunked\r\n", chunk), 413, "."},
      {"slow body", EdgeFixture.post(CLOSE + "Content-Length: 9\r\n", "{"), 400, "did not arrive"},
      {"slow headers", GET + "A: ", 400, "The headers did not arrive"},
      {
        "two lengths",
        EdgeFixture.post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\nGET /x"),
        400,
        "Content-Length"
      },
      {
        "two lengths, turned",
        EdgeFixture.post("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", "0\r\n\r\nGET /x"),
        400,
        "Content-Length"
      },
      {
        "odd encoding",
        EdgeFixture.post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
        400,
        "chunked"
      },
      {"two different lengths", EdgeFixture.whole("Content-Length: 7\r\n", chat), 400, "HTTP/1.1"},
      {"negative length", EdgeFixture.post("Content-Length: -1\r\n", ""), 400, "HTTP/1.1"},
      {"two hosts", GET + "Host: y\r\n\r\n", 400, "'Host'"},
      {"no HTTP", "hello\r\n\r\n", 400, "HTTP/1.1"},
      {"bad chunk", EdgeFixture.post("Transfer-Encoding: chunked\r\n", "zz\r\n"), 400, "HTTP/1.1"},
      {"unknown method", "BREW /v1/entries HTTP/1.1\r\nHost: x\r\n" + CLOSE + "\r\n", 404, "BREW"},
      {"unknown path", "GET /v2 HTTP/1.1\r\nHost: x\r\n" + CLOSE + "\r\n", 404, "/v2"},
      {"climbing path", service("GET", "/services/../v1/models"), 400, "Name a service"},
      {"no service", service("GET", "/services/"), 400, "Name a service"},
      {"bad escape", service("GET", "/services/a/%zz"), 400, "percent"},
      {"brackets", service("GET", "/services/a/x[1]|{y}"), 400, "percent"},
      {"trace", service("TRACE", "/services/a/x"), 400, "TRACE"},
      {"bad number", EdgeFixture.whole(CLOSE + HttpNames.PRIORITY + ": 10\r\n", chat), 400, "0 to"},
      {"long key", EdgeFixture.whole(CLOSE + key(300), chat), 400, "longer"},
      {"fault", "GET /v1/models HTTP/1.1\r\nAuthorization: Bearer k\r\n" + CLOSE + "\r\n", 500, "."}
    };
  }

  private static String key(int length) {
    return HttpNames.IDEMPOTENCY_KEY + ": " + "k".repeat(length) + "\r\n";
  }

  private static String service(String method, String path) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
        + CLOSE
        + "\r\n";
  }

  @Test(dataProvider = "refusals")
  public void refusesWithoutUpstreamWork(String what, String sent, int status, String part)
      throws IOException {
    // A caller sends something wrong. It gets a status, an error object that names the remedy and
    // the headers of a refusal; nothing of it reaches the reducer, so no upstream works for it.
    String got = edge.exchange(sent);
    assertTrue(got.startsWith("HTTP/1.1 " + status), what + ": " + got);
    assertTrue(got.contains(part), what + ": " + got);
    assertTrue(got.contains("\"error\":{\"message\":"), got);
    String lower = got.toLowerCase(Locale.ROOT);
    assertTrue(lower.contains("skylarkfork-run-state: " + (status == 500 ? "unknown" : "not-run")));
    assertTrue(lower.contains("x-request-id: r"), got);
    assertTrue(lower.contains("skylarkfork-attempts: 0"), got);
    assertTrue(edge.events.isEmpty(), what + ": " + edge.events);
  }

  @Test(dependsOnMethods = "refusesWithoutUpstreamWork")
  public void connectionServesOnAfterRefusal() throws Exception {
    try (Socket socket = edge.open()) {
      EdgeFixture.send(socket, EdgeFixture.whole("", "{"));
      assertTrue(EdgeFixture.readUntil(socket, "}}").startsWith("HTTP/1.1 400"));
      EdgeFixture.send(socket, EdgeFixture.whole(CLOSE, EdgeFixture.CHAT));
      assertTrue(EdgeFixture.readAll(socket).startsWith("HTTP/1.1 200"));
    }
    edge.next();
    assertTrue(edge.next() instanceof CallerEvent.AnswerDelivered);
  }

  @Test
  public void entriesMayBeKeptForTheirLifetime() throws IOException {
    String got = edge.exchange(GET + CLOSE + "\r\n").toLowerCase(Locale.ROOT);
    assertTrue(got.contains("cache-control: max-age=10\r\n"), got);
  }

  @Test
  public void headHasNoBody() throws IOException {
    String got = edge.exchange("HEAD /v1/entries HTTP/1.1\r\nHost: x\r\n" + CLOSE + "\r\n");
    assertTrue(got.startsWith("HTTP/1.1 404") && got.endsWith("\r\n\r\n"), got);
  }

  @Test
  public void halfClosedCallerGetsItsAnswer() throws Exception {
    // The caller sends a whole request and ends its sending side. It has not left: the answer,
    // which comes later, must reach it, and the connection ends behind the answer.
    try (EdgeFixture later = new EdgeFixture(event -> List.of());
        Socket socket = later.open()) {
      EdgeFixture.send(socket, EdgeFixture.whole("", EdgeFixture.CHAT));
      socket.shutdownOutput();
      CallerEvent.RequestReceived received = (CallerEvent.RequestReceived) later.next();
      String interim = EdgeFixture.readUntil(socket, "\r\n\r\n");
      assertTrue(interim.startsWith("HTTP/1.1 102"), interim);
      later.executeLater(EdgeFixture.draft(received.request().requestId()));
      assertTrue(EdgeFixture.readAll(socket).contains("offside"));
      assertTrue(later.next() instanceof CallerEvent.AnswerDelivered);
    }
  }

  @Test
  public void halfRequestIsRefusedOrClosed() throws Exception {
    // The caller ends its sending side within the headers or within the body. Nothing of the
    // request may reach the reducer.
    try (EdgeFixture own = EdgeFixture.answering()) {
      String text = EdgeFixture.whole("", EdgeFixture.CHAT);
      for (int length : new int[] {10, 60, text.length() - 5}) {
        try (Socket socket = own.open()) {
          EdgeFixture.send(socket, text.substring(0, length));
          socket.shutdownOutput();
          String got = EdgeFixture.readAll(socket);
          assertTrue(got.isEmpty() || got.startsWith("HTTP/1.1 400"), length + ": " + got);
        }
      }
      assertTrue(own.events.isEmpty());
    }
  }

  @Test
  public void callerThatLeavesIsNoticed() throws Exception {
    // The caller closes its connection while it waits for a whole answer. Nothing is written that
    // could fail, so the interim response has to find out; the reducer then cancels the engine.
    try (EdgeFixture silent = new EdgeFixture(event -> List.of())) {
      Socket socket = silent.open();
      EdgeFixture.send(socket, EdgeFixture.whole("", EdgeFixture.CHAT));
      assertTrue(silent.next() instanceof CallerEvent.RequestReceived);
      socket.close();
      assertTrue(silent.next() instanceof CallerEvent.CallerLeft);
    }
  }

  @Test
  public void callerThatLeavesMidStreamIsNoticed() throws Exception {
    try (EdgeFixture stream = new EdgeFixture(CallerServerTest::begun)) {
      Socket socket = stream.open();
      EdgeFixture.send(socket, EdgeFixture.whole("", EdgeFixture.CHAT));
      EdgeFixture.readUntil(socket, "one");
      stream.next();
      socket.close();
      Event end = null;
      for (int i = 0; end == null && i < 10_000; i++) {
        stream.executeLater(new CallerEffect.SendTokens("r1", "more"));
        end = stream.events.poll(2, TimeUnit.MILLISECONDS);
      }
      assertTrue(end instanceof CallerEvent.CallerLeft, String.valueOf(end));
    }
  }

  @Test
  public void callerThatReadsTooSlowlyIsDropped() throws Exception {
    // The caller opens a stream and reads no further, while the engine writes on. Past the bound
    // the connection is closed and the reducer told, or the engine would work on for nobody.
    try (EdgeFixture stream = new EdgeFixture(CallerServerTest::begun);
        Socket socket = stream.open()) {
      EdgeFixture.send(socket, EdgeFixture.whole("", EdgeFixture.CHAT));
      EdgeFixture.readUntil(socket, "one");
      stream.next();
      String piece = "x".repeat(100_000);
      for (int i = 0; i < 400 && stream.events.isEmpty(); i++) {
        stream.executeLater(new CallerEffect.SendTokens("r1", piece));
      }
      assertTrue(stream.next() instanceof CallerEvent.CallerLeft);
    }
  }

  private static List<CallerEffect> begun(Event event) {
    return event instanceof CallerEvent.RequestReceived received
        ? List.of(
            new CallerEffect.BeginStream(
                received.request().requestId(), EdgeFixture.facts(received.request().requestId())),
            new CallerEffect.SendTokens(received.request().requestId(), "one"))
        : List.of();
  }

  @Test
  public void passesOnWhatServicesMayHave() throws Exception {
    // Headers that are about one connection, the key, and those named by 'Connection' stay here.
    // The answer's own headers can't be replaced by the service's.
    try (EdgeFixture own = new EdgeFixture(CallerServerTest::serviceAnswer)) {
      String got =
          own.exchange(
              "PUT /services/register/a/b?c=d HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
                  + "Connection: close, X-Hop\r\nX-Hop: 1\r\nUpgrade: h2c\r\nTE: trailers\r\n"
                  + "X-Kept: 1\r\nContent-Length: 2\r\n\r\nhi");
      assertTrue(got.startsWith("HTTP/1.1 201"), got);
      assertTrue(got.contains("set-cookie: a=1\r\nset-cookie: b=2\r\n"), got);
      CallerRequest request = ((CallerEvent.RequestReceived) own.next()).request();
      assertEquals(request.path(), "/a/b?c=d");
      assertEquals(request.service(), "register");
      assertEquals(request.headers(), List.of(new Header("x-kept", "1")));
    }
  }

  private static List<CallerEffect> serviceAnswer(Event event) {
    if (!(event instanceof CallerEvent.RequestReceived received)) {
      return List.of();
    }
    String id = received.request().requestId();
    List<Header> headers =
        List.of(new Header("set-cookie", "a=1"), new Header("set-cookie", "b=2"));
    return List.of(
        new CallerEffect.SendServiceAnswer(
            id, 201, headers, Bytes.ofText("done"), EdgeFixture.facts(id)));
  }

  @Test
  public void refusalOfTheReducerKeepsItsFacts() throws Exception {
    try (EdgeFixture own =
        new EdgeFixture(
            event ->
                event instanceof CallerEvent.RequestReceived
                    ? List.of(
                        new CallerEffect.Refuse(
                            "r1",
                            new RoutingError(
                                ErrorKind.UPSTREAM_FAILED, "Lost.", RunState.UNKNOWN, 1500L),
                            EdgeFixture.facts("r1")))
                    : List.of())) {
      String got = own.exchange(EdgeFixture.whole(CLOSE, EdgeFixture.CHAT));
      String lower = got.toLowerCase(Locale.ROOT);
      assertTrue(got.startsWith("HTTP/1.1 502"), got);
      assertTrue(lower.contains("skylarkfork-attempts: 1"), got);
      assertTrue(lower.contains("skylarkfork-run-state: unknown"), got);
      assertTrue(lower.contains("retry-after: 2\r\n"), got);
      assertFalse(lower.contains("skylarkfork-attempts: 0"), got);
    }
  }

  /**
   * A caller keeps its connection open while the daemon closes. Were the connection left open, each
   * later request on it would be refused by a daemon that is gone; closed, the caller goes
   * elsewhere.
   */
  @Test
  public void closesConnectionsWithTheListener() throws IOException {
    EdgeFixture own = EdgeFixture.answering();
    try (Socket socket = own.open()) {
      EdgeFixture.send(socket, GET + "\r\n");
      EdgeFixture.readUntil(socket, "}");
      own.close();
      socket.getInputStream().skipNBytes(socket.getInputStream().available());
      assertEquals(socket.getInputStream().read(), -1);
    }
  }
}
