package org.skylarkfork.runtime.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
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
import org.skylarkfork.core.request.RequestKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Second answers of upstreams that come late, on the connection that carried the request. */
public final class LateAnswerTest {

  /** Pairs of requests in a test, as a connection isn't always back in its pool for the second. */
  private static final int ROUNDS = 10;

  private static final String NOT_STARTED = "503 Full\r\nX-Not-Started: true";
  private static final String FAILED = "500 Failed";
  private static final String OK = "200 OK";

  /** The upstream has the request, and nothing that it wrote can be its answer. */
  private static final String NOTHING_STATED = AttemptStage.WRITTEN.toString();

  /** An answer came that names another request. */
  private static final String ANOTHERS = AttemptStage.ANSWER_BEGUN.toString();

  /** Endings of an attempt whose connection was lost, and answers that the core drops. */
  private static final List<String> LOST =
      List.of("CONNECTED", "PARTLY_WRITTEN", "WRITTEN", "r 200 first");

  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private UpstreamClient client = new UpstreamClient(new ObjectMapper(), null, events::add);

  /** Opens a client. */
  @BeforeMethod
  public void open() {
    events.clear();
    client = new UpstreamClient(new ObjectMapper(), null, events::add);
  }

  /** Closes the client. */
  @AfterMethod
  public void close() {
    client.close();
  }

  private static String answer(String status, String id, String body) {
    String echo = id.isEmpty() ? "" : "\r\nX-Request-Id: " + id;
    return "HTTP/1.1 " + status + echo + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  private static String stream(String id, String text) {
    String name = id.isEmpty() ? "" : "\"id\":\"" + id + "\",";
    String frame = "data: {" + name + "\"choices\":[{\"text\":\"" + text + "\"}]}\n\n";
    return answer("200 OK\r\nContent-Type: text/event-stream", id, frame + "data: [DONE]\n\n");
  }

  /** Returns whether a draft is sent, the late bytes, and what comes of the request behind them. */
  @DataProvider
  public static Object[][] copies() {
    return new Object[][] {
      {true, stream("r", "first"), "r first"},
      {true, stream("", "first"), NOTHING_STATED},
      {true, answer(NOT_STARTED, "r", "full"), ANOTHERS},
      {true, answer(NOT_STARTED, "", "full"), NOTHING_STATED},
      {true, answer(FAILED, "r", "first"), ANOTHERS},
      {true, answer(FAILED, "", "first"), NOTHING_STATED},
      {false, answer(OK, "r", "first"), "r 200 first"},
      {false, answer(OK, "", "first"), NOTHING_STATED},
      {false, answer(FAILED, "", "first"), NOTHING_STATED},
      {false, answer(NOT_STARTED, "r", "full"), "r 503 full"},
      {false, answer(NOT_STARTED, "", "full"), NOTHING_STATED},
    };
  }

  /** Guards against a late answer that counts as the answer to another request. */
  @Test(dataProvider = "copies")
  public void lateAnswerIsNotTakenForOtherRequests(boolean isDraft, String copy, String outcome)
      throws Exception {
    String first = isDraft ? stream("r", "first") : answer(OK, "r", "first");
    String second = isDraft ? stream("q", "second") : answer(OK, "q", "second");
    for (int round = 0; round < ROUNDS; round++) {
      try (StutteringUpstream upstream =
          new StutteringUpstream(
              List.of(
                  new StutteringUpstream.Reply("", first, ""),
                  new StutteringUpstream.Reply(copy, second, "")))) {
        client.execute(effect(isDraft, "r", 1, upstream.port()));
        assertEquals(outcome("r.1"), isDraft ? "r first" : "r 200 first");
        client.execute(effect(isDraft, "q", 1, upstream.port()));
        String got = outcome("q.1");
        String own = isDraft ? "q second" : "q 200 second";
        assertEquals(got, upstream.connections() == 1 ? outcome : own);
      }
    }
  }

  /** Returns whether a draft is sent, its first answer, what comes of it, and the second answer. */
  @DataProvider
  public static Object[][] earlierAnswers() {
    return new Object[][] {
      {true, answer(NOT_STARTED, "r", "full"), "REFUSED_NOT_STARTED", stream("r", "second")},
      {true, answer(FAILED, "r", "failed"), "REFUSED_STARTED", stream("r", "second")},
      {true, stream("r", "first"), "r first", stream("r", "second")},
      {false, answer(NOT_STARTED, "r", "full"), "REFUSED_NOT_STARTED", answer(OK, "r", "second")},
      {false, answer(OK, "r", "first"), "r 200 first", answer(FAILED, "r", "second")},
    };
  }

  /** Guards against a late answer that counts as the answer to a later attempt of its request. */
  @Test(dataProvider = "earlierAnswers")
  public void lateAnswerIsNotTakenForLaterAttempts(
      boolean isDraft, String first, String outcome, String second) throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      try (StutteringUpstream upstream =
          new StutteringUpstream(
              List.of(
                  new StutteringUpstream.Reply("", first, ""),
                  new StutteringUpstream.Reply(first, second, "")))) {
        client.execute(effect(isDraft, "r", 1, upstream.port()));
        assertEquals(outcome("r.1"), outcome);
        client.execute(effect(isDraft, "r", 2, upstream.port()));
        String status = second.contains(FAILED) ? "500 " : "200 ";
        assertEquals(outcome("r.2"), "r " + (isDraft ? "" : status) + "second");
      }
    }
  }

  /** Returns late bytes that come in the same write as the true answer, and their rest. */
  @DataProvider
  public static Object[][] extras() {
    String copy = answer(OK, "r", "first");
    String unnamed = answer(OK, "", "first");
    return new Object[][] {
      {copy, ""},
      {unnamed, ""},
      {copy.substring(0, 10), copy.substring(10)},
      {unnamed.substring(0, 10), unnamed.substring(10)},
      {copy.substring(0, copy.length() - 2), copy.substring(copy.length() - 2)},
      {"\r\n", copy},
      {"HTTP/1.1 200 OK\r\n\r\n", "first"},
      {"no answer", ""},
    };
  }

  /** Guards against bytes on an idle connection that count as the answer to the next request. */
  @Test(dataProvider = "extras")
  public void bytesOnIdleConnectionAreNotTakenForAnswers(String extra, String rest)
      throws Exception {
    for (int round = 0; round < ROUNDS; round++) {
      try (StutteringUpstream upstream =
          new StutteringUpstream(
              List.of(
                  new StutteringUpstream.Reply("", answer(OK, "r", "first"), extra),
                  new StutteringUpstream.Reply(rest, answer(OK, "q", "second"), "")))) {
        client.execute(effect(false, "r", 1, upstream.port()));
        assertEquals(outcome("r.1"), "r 200 first");
        client.execute(effect(false, "q", 1, upstream.port()));
        String outcome = outcome("q.1");
        assertTrue(LOST.contains(outcome) || outcome.equals("q 200 second"), outcome);
      }
    }
  }

  /** Guards against a late answer to a draft that counts as the answer to an engine's order. */
  @Test
  public void lateAnswerIsNotTakenForOrders() throws Exception {
    String copy = stream("r", "first");
    for (int round = 0; round < ROUNDS; round++) {
      try (StutteringUpstream upstream =
          new StutteringUpstream(
              List.of(
                  new StutteringUpstream.Reply("", copy, ""),
                  new StutteringUpstream.Reply(copy, answer("409 Stale", "", "{}"), "")))) {
        client.execute(effect(true, "r", 1, upstream.port()));
        assertEquals(outcome("r.1"), "r first");
        client.execute(order(upstream.port()));
        assertEquals(outcome("o"), "STALE");
      }
    }
  }

  /** Guards against a late rating that counts as that of another answer. */
  @Test
  public void lateRatingIsNotTakenForOtherAnswers() throws Exception {
    String good = answer(OK, "", "{\"score\": 1.0}");
    String bad = answer(OK, "", "{\"score\": 0.0}");
    for (int round = 0; round < ROUNDS; round++) {
      try (StutteringUpstream service =
              new StutteringUpstream(
                  List.of(
                      new StutteringUpstream.Reply("", good, ""),
                      new StutteringUpstream.Reply(good, bad, "")));
          UpstreamClient rater =
              new UpstreamClient(new ObjectMapper(), "127.0.0.1:" + service.port(), events::add)) {
        rater.execute(rating("r"));
        assertEquals(outcome("r"), "1.0");
        rater.execute(rating("q"));
        assertEquals(outcome("q"), "0.0");
      }
    }
  }

  private static UpstreamEffect order(int port) {
    ModelVersion version = new ModelVersion("m", "1");
    return new UpstreamEffect.SendOrder(
        "o", "e1", "127.0.0.1", port, 1, "load", version, "", 15_000);
  }

  private static UpstreamEffect rating(String id) {
    ModelVersion version = new ModelVersion("m", "1");
    return new UpstreamEffect.RequestRating(id, id + ".1", version, "hi", "text", 15_000);
  }

  /** Returns what came of a call: the id that its answer names and its text, or the stage. */
  private String outcome(String attemptId) throws InterruptedException {
    StringBuilder text = new StringBuilder();
    while (true) {
      Event event = events.poll(20, TimeUnit.SECONDS);
      assertNotNull(event, "no end of " + attemptId);
      if (event instanceof UpstreamEvent.TokensArrived tokens) {
        text.append(tokens.text());
      } else if (event instanceof UpstreamEvent.DraftFinished finished) {
        return finished.echoedRequestId() + " " + text;
      } else if (event instanceof UpstreamEvent.ServiceAnswered answered) {
        String body = new String(answered.body().value(), StandardCharsets.UTF_8);
        return answered.echoedRequestId() + " " + answered.status() + " " + body;
      } else if (event instanceof UpstreamEvent.AttemptFailed failed) {
        return failed.moment().toString();
      } else if (event instanceof UpstreamEvent.OrderAnswered answered) {
        return answered.outcome().toString();
      } else if (event instanceof UpstreamEvent.Rated rated) {
        return String.valueOf(rated.score());
      }
    }
  }

  private static UpstreamEffect effect(boolean isDraft, String id, int attempt, int port) {
    String attemptId = id + "." + attempt;
    if (!isDraft) {
      return new UpstreamEffect.DispatchCall(
          attemptId,
          "s1",
          "127.0.0.1",
          port,
          request(id, RequestKind.SERVICE, "GET"),
          15_000,
          attempt > 1);
    }
    return new UpstreamEffect.DispatchDraft(
        attemptId,
        "e1",
        "127.0.0.1",
        port,
        request(id, RequestKind.CHAT, "POST"),
        new ModelVersion("m", "1"),
        0,
        5,
        15_000,
        attempt > 1);
  }

  private static CallerRequest request(String id, RequestKind kind, String method) {
    return new CallerRequest(
        id,
        "",
        kind,
        "m",
        "",
        method,
        "/x",
        List.of(),
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
}
