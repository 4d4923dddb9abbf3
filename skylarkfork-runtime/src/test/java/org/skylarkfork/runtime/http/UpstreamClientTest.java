package org.skylarkfork.runtime.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.reactivestreams.Publisher;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.UpstreamEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.UpstreamEvent;
import org.skylarkfork.core.request.Bytes;
import org.skylarkfork.core.request.CallerRequest;
import org.skylarkfork.core.request.RequestKind;
import org.skylarkfork.core.upstream.UpstreamRun;
import org.testng.annotations.Test;
import reactor.core.publisher.Flux;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

/** Attempts at engines over real HTTP on loopback. */
public class UpstreamClientTest {

  private static final String CHUNK = "data: {\"choices\":[{\"delta\":{\"content\":\"t\"}}]}\n\n";
  private static final String DONE = "data: [DONE]\n\n";

  @Test
  public void longAnswerIsNotSilent() throws Exception {
    // An engine streams for longer than the bound on silence, never silent for long. Were the bound
    // taken for the whole answer, each long draft would be cut and resumed again and again.
    Flux<String> steady =
        Flux.interval(Duration.ofMillis(50)).take(20).map(tick -> CHUNK).concatWithValues(DONE);
    assertTrue(outcome(steady) instanceof UpstreamEvent.DraftFinished);
  }

  @Test
  public void silentEngineFails() throws Exception {
    // The engine sends one token and nothing more; the connection stays open. The attempt ends by
    // the bound on silence, as one whose answer had begun.
    Event event = outcome(Flux.just(CHUNK).concatWith(Flux.never()));
    UpstreamEvent.AttemptFailed failed = (UpstreamEvent.AttemptFailed) event;
    assertEquals(failed.moment(), UpstreamEvent.AttemptStage.ANSWER_BEGUN);
  }

  /** Guards against an engine that goes on being taken for one that has ended, and the reverse. */
  @Test
  public void probeTellsWhetherAnEngineTakesConnections() throws Exception {
    DisposableServer server = HttpServer.create().host("127.0.0.1").port(0).bindNow();
    assertTrue(probe(server.port()).reachable());
    server.disposeNow();
    assertFalse(probe(server.port()).reachable());
  }

  private static UpstreamEvent.UpstreamProbed probe(int port) throws Exception {
    CompletableFuture<Event> end = new CompletableFuture<>();
    UpstreamRun run = new UpstreamRun("e1", 7);
    try (UpstreamClient client =
        new UpstreamClient(new ObjectMapper(), null, event -> take(event, end))) {
      client.execute(new UpstreamEffect.ProbeUpstream(run, "127.0.0.1", port));
      UpstreamEvent.UpstreamProbed probed =
          (UpstreamEvent.UpstreamProbed) end.get(30, TimeUnit.SECONDS);
      assertEquals(probed.upstream(), run);
      return probed;
    }
  }

  private static Event outcome(Publisher<String> answer) throws Exception {
    DisposableServer server =
        HttpServer.create()
            .host("127.0.0.1")
            .port(0)
            .handle(
                (request, response) ->
                    response
                        .header("Content-Type", "text/event-stream")
                        .sendObject(Flux.from(answer).map(UpstreamClientTest::bytes), any -> true))
            .bindNow();
    CompletableFuture<Event> end = new CompletableFuture<>();
    try (UpstreamClient client =
        new UpstreamClient(new ObjectMapper(), null, event -> take(event, end))) {
      client.execute(
          new UpstreamEffect.DispatchDraft(
              "r.1",
              "e1",
              "127.0.0.1",
              server.port(),
              request(),
              new ModelVersion("m", "1"),
              0,
              5,
              400,
              false));
      return end.get(30, TimeUnit.SECONDS);
    } finally {
      server.disposeNow();
    }
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
  }

  private static void take(Event event, CompletableFuture<Event> end) {
    if (!(event instanceof UpstreamEvent.TokensArrived)) {
      end.complete(event);
    }
  }

  private static CallerRequest request() {
    return new CallerRequest(
        "r",
        "",
        RequestKind.CHAT,
        "m",
        "",
        "POST",
        "",
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
        Instant.now().plusSeconds(60),
        null);
  }
}
