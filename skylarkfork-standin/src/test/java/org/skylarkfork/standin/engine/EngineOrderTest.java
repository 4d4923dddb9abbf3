package org.skylarkfork.standin.engine;

import static org.skylarkfork.standin.engine.EngineTesting.CHAT;
import static org.testng.Assert.assertEquals;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneOffset;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.announce.EngineRole;
import org.skylarkfork.standin.weights.StandInWeights;
import org.skylarkfork.standin.weights.WeightsSettings;
import org.testng.annotations.Test;

/** Tests of orders, with and without the check of fencing numbers. */
public class EngineOrderTest {

  private static final String ORDERS = "/v1/orders";

  private static String load(String orderId, int fencingNumber, String version) {
    String form =
        "{\"orderId\":\"%s\",\"fencingNumber\":%d,\"kind\":\"load\","
            + "\"model\":\"ruling-small\",\"version\":\"%s\"}";
    return form.formatted(orderId, fencingNumber, version);
  }

  private static String versions(StandInEngine engine) {
    return engine.state().models().stream().map(model -> model.version()).toList().toString();
  }

  @Test
  public void loadsUnloadsAndChangesTheRole() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.settings())) {
      Caller caller = new Caller(engine.start());
      assertEquals(caller.post(ORDERS, load("o-1", 1, "3")).body(), "{\"done\":true}");
      assertEquals(versions(engine), "[2, 3]");

      caller.post(ORDERS, load("o-2", 1, "2").replace("\"load\"", "\"unload\""));
      caller.post(
          ORDERS,
          "{\"orderId\":\"o-3\",\"fencingNumber\":1,\"kind\":\"role\",\"role\":\"decode\"}");

      assertEquals(versions(engine), "[3]");
      assertEquals(engine.state().role(), EngineRole.DECODE);
      assertEquals(caller.post(CHAT, EngineTesting.chat("a", true)).status(), 404);
      assertEquals(caller.post(ORDERS, "{\"orderId\":\"o-4\",\"kind\":\"load\"}").status(), 400);
    }
  }

  // The holder of the right to give orders lost it without noticing. Its late order reaches the
  // engine after one of the new holder. An engine that checks must refuse it and name the newest
  // number; one that does not would carry it out.
  @Test
  public void refusesAnOldFencingNumberOnlyIfItChecks() {
    try (StandInEngine checking = new StandInEngine(EngineTesting.settings());
        StandInEngine ignoring =
            new StandInEngine(EngineTesting.settings().withChecksFencing(false))) {
      Caller checked = new Caller(checking.start());
      Caller ignored = new Caller(ignoring.start());
      checked.post(ORDERS, load("new", 8, "3"));
      ignored.post(ORDERS, load("new", 8, "3"));

      Caller.Answer refusal = checked.post(ORDERS, load("old", 7, "4"));
      assertEquals(refusal.status(), 409);
      assertEquals(refusal.json().path("newest").asInt(), 8);
      assertEquals(versions(checking), "[2, 3]");

      assertEquals(ignored.post(ORDERS, load("old", 7, "4")).status(), 200);
      assertEquals(versions(ignoring), "[2, 3, 4]");
    }
  }

  // The answer to an order was lost, so the same order comes again after a later unload. Carried
  // out twice it would load the version again; the engine must only repeat its answer.
  @Test
  public void carriesAnOrderOutOnce() {
    try (StandInEngine engine = new StandInEngine(EngineTesting.settings())) {
      Caller caller = new Caller(engine.start());
      caller.post(ORDERS, load("o-1", 1, "3"));
      caller.post(ORDERS, load("o-2", 1, "3").replace("\"load\"", "\"unload\""));

      assertEquals(caller.post(ORDERS, load("o-1", 1, "3")).body(), "{\"done\":true}");

      assertEquals(versions(engine), "[2]");
      assertEquals(engine.state().orders(), 2);
    }
  }

  @Test
  public void fetchesFromTheWeightStoreWhichLimitsItsRate() {
    Clock stopped = Clock.fixed(Instant.EPOCH, ZoneOffset.UTC);
    try (StandInWeights store = new StandInWeights(WeightsSettings.of(0.5, 2), stopped);
        StandInEngine engine =
            new StandInEngine(EngineTesting.settings().withWeightStore(store.start()))) {
      Caller caller = new Caller(engine.start());
      assertEquals(caller.post(ORDERS, load("o-1", 1, "3")).status(), 200);
      Caller direct = new Caller(store.address());
      String weights = "/v1/weights/ruling-small/4";

      assertEquals(direct.get(weights).status(), 200);
      Caller.Answer refusal = direct.get(weights);

      assertEquals(refusal.status(), 429);
      assertEquals(refusal.header("retry-after"), "2");
      assertEquals(direct.get("/control/state").body(), "{\"fetched\":2,\"refused\":1}");
    }
  }
}
