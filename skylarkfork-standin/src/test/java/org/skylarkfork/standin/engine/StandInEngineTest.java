package org.skylarkfork.standin.engine;

import static org.skylarkfork.standin.engine.EngineTesting.CHAT;
import static org.skylarkfork.standin.engine.EngineTesting.ID;
import static org.skylarkfork.standin.engine.EngineTesting.STATE;
import static org.skylarkfork.standin.engine.EngineTesting.chat;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.fault.FaultKind;
import org.skylarkfork.standin.text.AnswerText;
import org.skylarkfork.standin.text.PromptText;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Tests of the protocol that the engine speaks. */
public class StandInEngineTest {

  @Test
  public void streamsTheWholeAnswerInOrder() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.settings())) {
      Caller caller = new Caller(engine.start());

      Caller.Answer answer = caller.post(CHAT, chat("who won", true), ID, "r-1");

      assertEquals(answer.status(), 200);
      assertEquals(answer.header("x-request-id"), "r-1");
      assertEquals(AnswerText.check("user: who won", answer.text()), AnswerText.Finding.WHOLE);
      List<JsonNode> chunks = answer.chunks();
      assertTrue(chunks.stream().allMatch(chunk -> chunk.path("id").asText().equals("r-1")));
      JsonNode last = chunks.get(chunks.size() - 1);
      assertEquals(last.at("/choices/0/finish_reason").asText(), "stop");
      assertEquals(last.at("/usage/prompt_tokens").asInt(), 3);
      assertEquals(
          last.at("/usage/completion_tokens").asInt(), PromptText.tokens(answer.text()).size());
      assertTrue(answer.body().endsWith(AnswerFormat.DONE));
    }
  }

  @Test
  public void givesTheSameAnswerWhole() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.settings())) {
      Caller caller = new Caller(engine.start());

      String streamed = caller.post(CHAT, chat("who won", true), ID, "r-1").text();
      JsonNode whole = caller.post(CHAT, chat("who won", false), ID, "r-1").json();

      assertEquals(whole.at("/choices/0/message/content").asText(), streamed);
    }
  }

  @Test
  public void resumesWithExactlyTheRemainingText() {
    try (StandInEngine first = new StandInEngine(EngineTesting.settings());
        StandInEngine second = new StandInEngine(EngineTesting.settings())) {
      String whole = new Caller(first.start()).post(CHAT, chat("a b", true), ID, "r-2").text();

      Caller.Answer rest =
          new Caller(second.start())
              .post(CHAT, chat("a b", true), ID, "r-2", "X-Resume-Offset", "5");

      List<String> tokens = PromptText.tokens(whole);
      assertEquals(PromptText.tokens(rest.text()), tokens.subList(5, tokens.size()));
      assertEquals(second.state().resumed(), 1);
    }
  }

  @Test
  public void refusesWithNotStartedWhenFullOrUnknown() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.stuck(1, 1))) {
      Caller caller = new Caller(engine.start());
      caller.stream(CHAT, chat("a", true), ID, "r-1").onErrorComplete().subscribe();
      caller.await(STATE, state -> state.path("running").asInt() == 1);
      caller.stream(CHAT, chat("b", true), ID, "r-2").onErrorComplete().subscribe();
      caller.await(STATE, state -> state.path("queued").asInt() == 1);

      Caller.Answer full = caller.post(CHAT, chat("c", true), ID, "r-3");
      Caller.Answer unknown = caller.post(CHAT, "{\"model\":\"ruling-small:9\"}", ID, "r-4");
      Caller.Answer malformed = caller.post(CHAT, "{", ID, "r-5");

      for (Caller.Answer refusal : List.of(full, unknown, malformed)) {
        assertEquals(refusal.header("x-not-started"), "true");
        assertTrue(refusal.json().at("/error/message").isTextual());
      }
      assertEquals(full.status(), 429);
      assertEquals(unknown.status(), 404);
      assertEquals(malformed.status(), 400);
      assertEquals(engine.state().started(), 2);
    }
  }

  @Test
  public void cancelFreesThePlaceInTheBatch() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.stuck(1, 8))) {
      Caller caller = new Caller(engine.start());
      caller.stream(CHAT, chat("a", true), ID, "r-1").onErrorComplete().subscribe();
      caller.await(STATE, state -> state.path("running").asInt() == 1);
      caller.stream(CHAT, chat("b", true), ID, "r-2").onErrorComplete().subscribe();
      caller.await(STATE, state -> state.path("queued").asInt() == 1);

      Caller.Answer answer = caller.post("/v1/cancel", "{\"requestId\":\"r-1\"}");

      assertEquals(answer.json().path("cancelled").asInt(), 1);
      caller.await(
          STATE, state -> state.path("running").asInt() == 1 && state.path("queued").asInt() == 0);
    }
  }

  @Test
  public void closingTheConnectionCancels() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.stuck(2, 8))) {
      Caller caller = new Caller(engine.start());
      Disposable streamed =
          caller.stream(CHAT, chat("a", true), ID, "r-1").onErrorComplete().subscribe();
      Disposable whole =
          caller.send(HttpMethod.POST, CHAT, chat("b", false), ID, "r-2").subscribe();
      caller.await(STATE, state -> state.path("started").asInt() == 2);

      streamed.dispose();
      whole.dispose();

      JsonNode state = caller.await(STATE, seen -> seen.path("cancelled").asInt() == 2);
      assertEquals(state.path("running").asInt(), 0);
      assertEquals(state.path("queued").asInt(), 0);
    }
  }

  @Test
  public void runsTheQueueByPriority() {
    EngineSettings single =
        EngineTesting.settings()
            .withSpeed(new EngineSpeed(500, 0, 0, null))
            .withLimits(new EngineLimits(1, 8, 0, 0, 0, 0));
    try (StandInEngine engine = new StandInEngine(single)) {
      Caller caller = new Caller(engine.start());
      engine.fault(new Fault(FaultKind.SLOW, null, null, 3_600_000L));
      final Disposable blocker = caller.stream(CHAT, chat("a", true), ID, "blocker").subscribe();
      caller.await(STATE, state -> state.path("running").asInt() == 1);
      List<String> order = Collections.synchronizedList(new ArrayList<>());
      List<String> priorities = List.of("9", "0", "5");
      for (int i = 0; i < priorities.size(); i++) {
        String priority = priorities.get(i);
        int queued = i + 1;
        caller
            .send(
                HttpMethod.POST,
                CHAT,
                chat("b", false),
                ID,
                "r-" + priority,
                "X-Priority",
                priority)
            .subscribe(answer -> order.add(priority));
        caller.await(STATE, state -> state.path("queued").asInt() == queued);
      }

      engine.fault(Fault.of(FaultKind.NONE));
      blocker.dispose();

      caller.await(STATE, state -> state.path("finished").asInt() == 3 && order.size() == 3);
      assertEquals(order, List.of("0", "5", "9"));
    }
  }
}
