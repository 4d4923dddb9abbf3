package org.skylarkfork.standin.announce;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.engine.EngineReports;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.engine.EngineSpeed;
import org.skylarkfork.standin.engine.StandInEngine;
import org.skylarkfork.standin.http.BoundServer;
import org.skylarkfork.standin.http.Exchange;
import org.skylarkfork.standin.http.Json;
import org.skylarkfork.standin.service.ServiceSettings;
import org.skylarkfork.standin.service.StandInService;
import org.skylarkfork.standin.text.PromptText;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Tests of announcements against a hand-written entry. */
public class AnnouncerTest {

  /** Wait for an announcement; a first one that its sender gives up isn't sent again for a day. */
  private static final Duration LIMIT = Duration.ofSeconds(30);

  private static final LoadedModel SMALL = new LoadedModel("ruling-small", "2", List.of("penalty"));

  /** Takes announcements and answers each with a status. */
  private static final class FakeEntry implements AutoCloseable {

    private final BlockingQueue<JsonNode> received = new LinkedBlockingQueue<>();
    private final BoundServer server;

    private FakeEntry(int status) {
      server =
          BoundServer.bind(
              "127.0.0.1",
              0,
              routes ->
                  routes.post(
                      "/v1/upstreams",
                      (request, response) ->
                          Exchange.body(request)
                              .flatMap(
                                  body -> {
                                    received.add(Json.read(body, JsonNode.class));
                                    return Exchange.json(response, status, new Next(5));
                                  })));
    }

    private record Next(long nextMillis) {}

    private JsonNode next() throws InterruptedException {
      JsonNode announcement = received.poll(LIMIT.toSeconds(), TimeUnit.SECONDS);
      assertTrue(announcement != null, "no announcement came");
      return announcement;
    }

    private JsonNode nextLeaving() throws InterruptedException {
      JsonNode announcement = next();
      while (!announcement.path("leaving").asBoolean()) {
        announcement = next();
      }
      return announcement;
    }

    @Override
    public void close() {
      server.close();
    }
  }

  private static AnnouncerSettings often(List<String> entries) {
    return new AnnouncerSettings(entries, Duration.ofDays(1), LIMIT);
  }

  @Test
  public void announcesAllThatTheProtocolNames() throws InterruptedException {
    try (FakeEntry entry = new FakeEntry(200);
        StandInEngine engine =
            new StandInEngine(
                EngineSettings.of(
                    "e-1", "utrecht-a", List.of(SMALL), often(List.of(entry.server.address()))))) {
      final String address = engine.start();

      JsonNode said = entry.next();

      assertEquals(said.path("protocol").asInt(), 1);
      assertEquals(said.path("id").asText(), "e-1");
      assertTrue(said.path("incarnation").asLong() > 0);
      assertEquals(said.path("address").asText(), address);
      assertEquals(said.path("zone").asText(), "utrecht-a");
      assertEquals(said.path("kind").asText(), "engine");
      assertTrue(said.path("service").isNull());
      assertEquals(
          said.path("models").toString(),
          "[{\"model\":\"ruling-small\",\"version\":\"2\",\"adapters\":[\"penalty\"]}]");
      assertEquals(said.path("role").asText(), "mixed");
      assertEquals(said.path("capacity").asInt(), 8);
      assertTrue(said.path("load").has("ageMillis"));
      assertTrue(said.path("checksFencing").asBoolean());
      assertFalse(said.path("leaving").asBoolean());
      assertEquals(entry.next().path("incarnation"), said.path("incarnation"));
    }
  }

  @Test
  public void reportsCacheEventsWithGaps() throws InterruptedException {
    String prompt = "word ".repeat(40 * PromptText.BLOCK_TOKENS).strip();
    String call = "{\"model\":\"ruling-small:2\",\"prompt\":\"" + prompt + "\"}";
    try (FakeEntry entry = new FakeEntry(200);
        StandInEngine engine =
            new StandInEngine(
                EngineSettings.of(
                        "e-1", "utrecht-a", List.of(SMALL), often(List.of(entry.server.address())))
                    .withReports(new EngineReports(Duration.ZERO, 0.5)))) {
      new Caller(engine.start()).post("/v1/completions", call);

      JsonNode events = entry.next().path("cacheEvents");
      while (events.isEmpty()) {
        events = entry.next().path("cacheEvents");
      }

      assertTrue(events.size() < 40, "events " + events.size());
      assertTrue(events.get(events.size() - 1).path("sequence").asInt() > events.size());
      assertEquals(events.get(0).path("kind").asText(), "stored");
    }
  }

  // The first entry of the list has ended and the second refuses. The upstream must still become
  // known, so the announcement goes on to the third within the same heartbeat.
  @Test
  public void goesToTheNextEntryWhenOneFails() throws InterruptedException {
    FakeEntry ended = new FakeEntry(200);
    String endedAddress = ended.server.address();
    ended.close();
    try (FakeEntry refusing = new FakeEntry(503);
        FakeEntry taking = new FakeEntry(200);
        StandInService service =
            new StandInService(
                ServiceSettings.of(
                    "s-1",
                    "utrecht-b",
                    "lookup",
                    often(
                        List.of(
                            endedAddress, refusing.server.address(), taking.server.address()))))) {
      service.start();

      JsonNode said = taking.next();

      assertEquals(said.path("kind").asText(), "service");
      assertEquals(said.path("service").asText(), "lookup");
      taking.next();
      assertEquals(refusing.received.size(), 1);
    }
  }

  // An engine is stopped while it answers. Entries must hear of it first, the running answer must
  // come whole, and only then may the engine say that it is gone.
  @Test
  public void leavesOnlyAfterRunningWork() throws InterruptedException {
    try (FakeEntry entry = new FakeEntry(200);
        StandInEngine engine =
            new StandInEngine(
                EngineSettings.of(
                        "e-1", "utrecht-a", List.of(SMALL), often(List.of(entry.server.address())))
                    .withSpeed(new EngineSpeed(1e-6, 0, 0, null)))) {
      Caller caller = new Caller(engine.start());
      String call = "{\"model\":\"ruling-small:2\",\"prompt\":\"a\",\"stream\":true}";
      final Disposable running = caller.stream("/v1/completions", call).subscribe();
      caller.await("/control/state", state -> state.path("running").asInt() == 1);

      CompletableFuture<Void> stopped = engine.stop();

      assertFalse(entry.nextLeaving().path("gone").asBoolean());
      assertEquals(caller.post("/v1/completions", call).header("x-not-started"), "true");
      assertFalse(stopped.isDone());
      running.dispose();
      stopped.join();
      JsonNode last = entry.nextLeaving();
      while (!last.path("gone").asBoolean()) {
        last = entry.nextLeaving();
      }
      assertTrue(entry.received.isEmpty());
    }
  }
}
