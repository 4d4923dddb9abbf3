package org.skylarkfork.runtime.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.event.UpstreamEvent.AttemptStage;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.Header;
import org.skylarkfork.core.request.RequestKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** What attempts tell of upstreams that fail in each way, over raw connections on loopback. */
public class AttemptStageTest {

  private static final int MAX_ANSWER = 1_000;
  private static final String OK = "HTTP/1.1 200 OK\r\n";
  private static final String STREAM = OK + "Content-Type: text/event-stream\r\n\r\n";
  private static final String LONG = OK + "Content-Length: 5000\r\n\r\n" + "x".repeat(5000);

  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private ServerSocket server;
  private UpstreamClient client;

  /** Opens an upstream and a client. */
  @BeforeMethod
  public void open() throws IOException {
    events.clear();
    server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    server.setSoTimeout(20_000);
    client = new UpstreamClient(new ObjectMapper(), null, events::add, MAX_ANSWER);
  }

  /** Closes both. */
  @AfterMethod
  public void close() throws IOException {
    client.close();
    server.close();
  }

  private UpstreamEffect draft(String attemptId) {
    return new UpstreamEffect.DispatchDraft(
        attemptId,
        "e1",
        "127.0.0.1",
        server.getLocalPort(),
        request(RequestKind.CHAT, "POST", List.of()),
        new ModelVersion("m", "1"),
        0,
        5,
        15_000,
        false);
  }

  private UpstreamEffect call(String attemptId, String method, List<Header> headers) {
    return new UpstreamEffect.DispatchCall(
        attemptId,
        "s1",
        "127.0.0.1",
        server.getLocalPort(),
        request(RequestKind.SERVICE, method, headers),
        15_000,
        false);
  }

  private static CallerRequest request(RequestKind kind, String method, List<Header> headers) {
    return new CallerRequest(
        "r",
        "",
        kind,
        "m",
        "",
        method,
        "/x",
        headers,
        "",
        Bytes.ofText("{}"),
        1,
        100,
        true,
        5,
        null,
        null,
        null,
        Instant.EPOCH,
        null);
  }

  private UpstreamEvent.AttemptFailed failed() throws InterruptedException {
    Event event = events.poll(20, TimeUnit.SECONDS);
    assertTrue(event instanceof UpstreamEvent.AttemptFailed, String.valueOf(event));
    return (UpstreamEvent.AttemptFailed) event;
  }

  @DataProvider
  Object[][] endings() {
    Set<AttemptStage> unknown = Set.of(AttemptStage.PARTLY_WRITTEN, AttemptStage.WRITTEN);
    Set<AttemptStage> begun = Set.of(AttemptStage.ANSWER_BEGUN);
    String chunk = "data: {\"choices\":[{\"text\":\"t\"}]}\n\n";
    return new Object[][] {
      {"closed before reading", false, null, unknown},
      {"closed after reading", true, "", Set.of(AttemptStage.WRITTEN)},
      {
        "no HTTP",
        true,
        "220 ready\r\n\r\n",
        Set.of(AttemptStage.WRITTEN, AttemptStage.ANSWER_BEGUN)
      },
      {"cut answer", true, OK + "Content-Length: 10\r\n\r\nabc", begun},
      {"cut stream", true, STREAM + chunk, begun},
      {"frame that is no JSON", true, STREAM + "data: {broken\n\n", begun},
      {"wrong content", true, STREAM + "<html>Moved</html>", begun},
      {"error frame", true, STREAM + "data: {\"error\":{\"message\":\"full\"}}\n\n", begun},
      {"long answer", true, LONG, begun},
      {"long stream", true, STREAM + ": x\n".repeat(500), begun},
      {"long error", true, LONG.replace("200", "500"), Set.of(AttemptStage.REFUSED_STARTED)},
      {
        "not started",
        true,
        "HTTP/1.1 503 Full\r\nX-Not-Started: true\r\nContent-Length: 0\r\n\r\n",
        Set.of(AttemptStage.REFUSED_NOT_STARTED)
      }
    };
  }

  @Test(dataProvider = "endings")
  public void draftTellsHowFarItGot(
      String what, boolean read, String answer, Set<AttemptStage> stages) throws Exception {
    // The engine fails in some way. The stage decides what the caller is told of whether its
    // request ran, so a stage that is too early would let a resend run it twice.
    client.execute(draft("r.1"));
    serve(read, answer);
    Event event = events.poll(20, TimeUnit.SECONDS);
    if (event instanceof UpstreamEvent.TokensArrived) {
      event = events.poll(20, TimeUnit.SECONDS);
    }
    assertTrue(event instanceof UpstreamEvent.AttemptFailed, what + ": " + event);
    AttemptStage stage = ((UpstreamEvent.AttemptFailed) event).moment();
    assertTrue(stages.contains(stage), what + ": " + event);
  }

  @Test(dataProvider = "endings")
  public void callTellsHowFarItGot(
      String what, boolean read, String answer, Set<AttemptStage> stages) throws Exception {
    boolean service =
        answer == null || !answer.startsWith(STREAM) && !answer.startsWith("HTTP/1.1 500");
    if (service) {
      client.execute(call("r.1", "POST", List.of()));
      serve(read, answer);
      AttemptStage stage = failed().moment();
      assertTrue(stages.contains(stage), what + ": " + stage);
    }
  }

  private void serve(boolean read, String answer) throws IOException {
    try (Socket socket = server.accept()) {
      if (read) {
        EdgeFixture.readUntil(socket, "{");
        EdgeFixture.readUntil(socket, "}");
        EdgeFixture.send(socket, answer);
      }
    }
  }

  @Test
  public void refusedConnectionIsBeforeConnect() throws Exception {
    server.close();
    client.execute(draft("r.1"));
    assertEquals(failed().moment(), AttemptStage.BEFORE_CONNECT);
    client.execute(call("r.2", "POST", List.of()));
    assertEquals(failed().moment(), AttemptStage.BEFORE_CONNECT);
  }

  @Test
  public void connectionOfAbandonedAnswerIsNotUsedAgain() throws Exception {
    // An attempt is given up before its answer came. The answer comes late on the same connection;
    // was that one used again, the next caller would get the other's answer.
    client.execute(call("r.1", "GET", List.of()));
    try (Socket first = server.accept()) {
      EdgeFixture.readUntil(first, "{}");
      client.execute(new UpstreamEffect.CancelAttempt("r.1"));
      client.execute(call("r.2", "GET", List.of()));
      try (Socket second = server.accept()) {
        EdgeFixture.readUntil(second, "{}");
        EdgeFixture.send(first, OK + "Content-Length: 4\r\n\r\nlate");
        EdgeFixture.send(second, OK + "Content-Length: 3\r\n\r\nnew");
        Event event = events.poll(20, TimeUnit.SECONDS);
        UpstreamEvent.ServiceAnswered answered = (UpstreamEvent.ServiceAnswered) event;
        assertEquals(answered.attemptId(), "r.2");
        assertEquals(answered.body(), Bytes.ofText("new"));
        assertEquals(EdgeFixture.readAll(first), "");
      }
    }
  }

  @Test
  public void headersCannotBeInjected() throws Exception {
    // A value with a line end is refused by the listener already. Should one come here, nothing of
    // the call may be sent.
    client.execute(call("r.1", "POST", List.of(new Header("x-a", "1\r\nx-b: 2"))));
    AttemptStage stage = failed().moment();
    assertFalse(stage.ordinal() > AttemptStage.CONNECTED.ordinal(), stage.toString());
  }

  @Test
  public void repeatedHeadersArePassedOn() throws Exception {
    client.execute(call("r.1", "PUT", List.of(new Header("x-a", "1"), new Header("x-a", "2"))));
    try (Socket socket = server.accept()) {
      String got = EdgeFixture.readUntil(socket, "{}");
      assertTrue(got.contains("x-a: 1\r\nx-a: 2\r\n"), got);
      EdgeFixture.send(
          socket,
          OK
              + "Skylarkfork-Version: forged\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n"
              + "Content-Length: 0\r\n\r\n");
    }
    UpstreamEvent.ServiceAnswered answered =
        (UpstreamEvent.ServiceAnswered) events.poll(20, TimeUnit.SECONDS);
    assertEquals(
        answered.headers(), List.of(new Header("set-cookie", "a"), new Header("set-cookie", "b")));
  }
}
