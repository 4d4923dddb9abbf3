package org.skylarkfork.standin.engine;

import static org.skylarkfork.standin.engine.EngineTesting.CHAT;
import static org.skylarkfork.standin.engine.EngineTesting.ID;
import static org.skylarkfork.standin.engine.EngineTesting.chat;
import static org.skylarkfork.standin.engine.EngineTesting.fault;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.fault.FaultKind;
import org.skylarkfork.standin.text.AnswerText;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.PrematureCloseException;

/** Tests that each fault does what it says. */
public class EngineFaultTest {

  private static final String FAULT = "/control/fault";
  private static final String STATE = "/control/state";

  private StandInEngine engine;
  private Caller caller;

  /** Starts an engine. */
  @BeforeMethod
  public void start() {
    engine = new StandInEngine(EngineTesting.settings());
    caller = new Caller(engine.start());
  }

  /** Ends the engine. */
  @AfterMethod
  public void end() {
    engine.close();
  }

  @Test
  public void badAnswersAreWrongForTheirVersionOnly() {
    caller.post(FAULT, "{\"kind\":\"bad-answers\",\"version\":\"ruling-small:3\"}");
    assertEquals(AnswerText.wrongShare(caller.post(CHAT, chat("a", true)).text()), 0.0);

    caller.post(FAULT, "{\"kind\":\"bad-answers\",\"version\":\"2\"}");
    assertEquals(AnswerText.wrongShare(caller.post(CHAT, chat("a", true)).text()), 1.0);

    caller.post(FAULT, fault("none"));
    assertEquals(AnswerText.wrongShare(caller.post(CHAT, chat("a", true)).text()), 0.0);
  }

  @Test
  public void rateStrikesItsShareOfRequests() {
    caller.post(FAULT, "{\"kind\":\"full\",\"rate\":0.5}");

    int refused = 0;
    for (int i = 0; i < 100; i++) {
      refused += caller.post(CHAT, chat("a", true), ID, "r-" + i).status() == 429 ? 1 : 0;
    }

    assertTrue(refused > 30 && refused < 70, "refused " + refused);
    assertEquals(engine.state().refused(), refused);
  }

  // The caller sees a connection that closes after some tokens, streamed or whole. No last chunk
  // comes, so the answer can be told from a whole one.
  @Test
  public void cutStreamsEndWithoutTheirLastFrame() {
    caller.post(FAULT, fault("cut-stream"));
    StringBuilder received = new StringBuilder();
    Throwable error =
        expectThrows(
            RuntimeException.class,
            () -> caller.stream(CHAT, chat("a", true)).doOnNext(received::append).blockLast());
    assertTrue(error.getCause() instanceof PrematureCloseException, error.toString());
    assertTrue(received.toString().contains("[prompt="));
    assertFalse(received.toString().contains("[DONE]"));

    expectThrows(RuntimeException.class, () -> caller.post(CHAT, chat("a", false)));
  }

  @Test
  public void crossedAnswersCarryAnotherId() {
    caller.post(CHAT, chat("first", true), ID, "r-1");
    caller.post(FAULT, fault("crossed-answers"));

    Caller.Answer crossed = caller.post(CHAT, chat("second", true), ID, "r-2");

    assertEquals(crossed.header("x-request-id"), "r-1");
    assertEquals(crossed.chunks().get(0).path("id").asText(), "r-1");
    assertEquals(AnswerText.check("user: second", crossed.text()), AnswerText.Finding.FOREIGN);
  }

  @Test
  public void fullAndLeavingRefuseBeforeAnythingStarts() {
    for (String kind : List.of("full", "leaving")) {
      caller.post(FAULT, fault(kind));
      Caller.Answer refusal = caller.post(CHAT, chat("a", true));
      assertEquals(refusal.header("x-not-started"), "true");
      assertEquals(refusal.json().at("/error/code").asText(), kind);
      caller.post(FAULT, fault("none"));
    }
    assertEquals(engine.state().started(), 0);
  }

  @Test
  public void silenceAnswersNothing() {
    caller.post(FAULT, fault("silence"));
    Disposable call = caller.stream(CHAT, chat("a", true), ID, "r-1").subscribe();

    caller.await("/control/runs", runs -> runs.path("total").asInt() == 1);

    assertFalse(call.isDisposed());
    call.dispose();
  }

  // An engine falls silent in the middle of a stream. The caller has some tokens, no error and no
  // end; once the engine speaks again, the stream must go on where it stood.
  @Test
  public void silenceStopsRunningStreams() {
    caller.post(FAULT, "{\"kind\":\"slow\",\"delayMillis\":400}");
    StringBuffer received = new StringBuffer();
    Mono<String> call =
        caller.stream(CHAT, chat("a", true), ID, "r-1")
            .doOnNext(
                part -> {
                  if (received.isEmpty()) {
                    engine.fault(Fault.of(FaultKind.SILENCE));
                  }
                  received.append(part);
                })
            .then(Mono.fromSupplier(received::toString))
            .cache();
    final Disposable running = call.subscribe();
    caller.await(STATE, state -> state.path("faults").toString().contains("silence"));
    assertFalse(running.isDisposed());
    assertEquals(engine.state().finished(), 0);

    engine.fault(Fault.of(FaultKind.NONE));

    String body = call.block(Duration.ofSeconds(30));
    String text = new Caller.Answer(200, Map.of(), body).text();
    assertEquals(AnswerText.check("user: a", text), AnswerText.Finding.WHOLE);
  }

  @Test
  public void lateAndSlowAnswersAreWholeInTheEnd() {
    caller.post(FAULT, "{\"kind\":\"late-answers\",\"delayMillis\":5}");
    caller.post(FAULT, "{\"kind\":\"slow\",\"delayMillis\":1}");

    String text = caller.post(CHAT, chat("a", true)).text();

    assertEquals(AnswerText.check("user: a", text), AnswerText.Finding.WHOLE);
  }

  // A late answer must wait even when all its tokens are ready, or nobody would see the fault.
  @Test
  public void lateAnswersWaitAlthoughTheWorkIsDone() {
    caller.post(FAULT, "{\"kind\":\"late-answers\",\"delayMillis\":3600000}");
    Disposable call = caller.stream(CHAT, chat("a", true), ID, "r-1").subscribe();

    caller.await(STATE, state -> state.path("finished").asInt() == 1);

    assertFalse(call.isDisposed());
    call.dispose();
  }

  @Test
  public void refusesAnUnknownFault() {
    assertEquals(caller.post(FAULT, fault("gremlins")).status(), 400);
  }
}
