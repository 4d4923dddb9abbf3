package org.skylarkfork.standin.service;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.skylarkfork.standin.Caller;
import org.skylarkfork.standin.announce.AnnouncerSettings;
import org.skylarkfork.standin.fault.Fault;
import org.skylarkfork.standin.fault.FaultKind;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import reactor.core.Disposable;

/** Tests of the plain service. */
public class StandInServiceTest {

  private StandInService service;
  private Caller caller;

  /** Starts a service. */
  @BeforeMethod
  public void start() {
    service =
        new StandInService(
            ServiceSettings.of("s-1", "wien-halle", "certificates", AnnouncerSettings.none()));
    caller = new Caller(service.start());
  }

  /** Ends the service. */
  @AfterMethod
  public void end() {
    service.close();
  }

  @Test
  public void echoesAnyCall() {
    Caller.Answer answer =
        caller.call(HttpMethod.PUT, "/chips/7?lap=2", "body", "X-Request-Id", "r-1");

    JsonNode echo = answer.json();
    assertEquals(answer.header("x-request-id"), "r-1");
    assertEquals(echo.path("method").asText(), "PUT");
    assertEquals(echo.path("path").asText(), "/chips/7?lap=2");
    assertEquals(echo.path("requestId").asText(), "r-1");
    assertEquals(echo.path("body").asText(), "body");
  }

  // A call's content ends the service as it runs it. Its caller and all that call later get no
  // answer; calls of another content are served until then.
  @Test
  public void endsUnderTheContentThatItsSettingsName() {
    StandInService fragile =
        new StandInService(
            new ServiceSettings(
                "s-2",
                "127.0.0.1",
                0,
                "wien-halle",
                "certificates",
                Duration.ofMillis(1),
                8,
                0,
                "fatal",
                null,
                AnnouncerSettings.none()));
    Caller before = new Caller(fragile.start());
    assertEquals(before.post("/issue", "harmless").json().path("body").asText(), "harmless");
    expectThrows(RuntimeException.class, () -> before.post("/issue", "a fatal body"));
    expectThrows(RuntimeException.class, () -> before.post("/issue", "harmless"));
  }

  @Test
  public void namesTheRateLimitOfItsSettings() {
    StandInService limited =
        new StandInService(
            new ServiceSettings(
                "s-3",
                "127.0.0.1",
                0,
                "wien-halle",
                "certificates",
                Duration.ofMillis(1),
                8,
                0,
                null,
                2.5,
                AnnouncerSettings.none()));
    assertEquals(new Caller(limited.start()).post("/issue", "").header("x-rate-limit"), "2.5");
    limited.close();
    assertEquals(caller.post("/issue", "").header("x-rate-limit"), "");
  }

  /** Guards against stand-ins that always state a length, as upstreams needn't. */
  @Test
  public void unframedAnswersEndWithTheirConnection() {
    service.fault(Fault.of(FaultKind.UNFRAMED_ANSWERS));
    Caller.Answer answer = caller.post("/issue", "body");
    assertEquals(answer.json().path("body").asText(), "body");
    assertEquals(answer.header("content-length"), "");
    assertEquals(answer.header("transfer-encoding"), "");
  }

  // An issue of a certificate reaches the service twice, under two request ids but one key. The
  // service cannot prevent that; its count must show it.
  @Test
  public void showsDoublesByIdempotencyKey() {
    caller.post("/issue", "", "X-Request-Id", "r-1", "Idempotency-Key", "k-1");
    Caller.Answer second =
        caller.post("/issue", "", "X-Request-Id", "r-2", "Idempotency-Key", "k-1");
    caller.post("/issue", "", "X-Request-Id", "r-3");

    assertEquals(second.json().path("runs").asInt(), 2);
    JsonNode runs = caller.get("/control/runs").json();
    assertEquals(runs.path("total").asInt(), 3);
    assertEquals(runs.path("doubles").toString(), "{\"k-1\":2}");
  }

  // A service is stopped while it issues a certificate. The caller must get the whole answer, since
  // it can't send the call again, and a silent call holds the stop up; a call that comes after the
  // stop must hear that it did not start.
  @Test
  public void stopFinishesWhatRunsAndRefusesTheRest() {
    service.fault(Fault.of(FaultKind.SILENCE));
    final Disposable silent = caller.send(HttpMethod.POST, "/issue", "").subscribe();
    caller.await("/control/runs", runs -> runs.path("total").asInt() == 1);
    service.fault(Fault.of(FaultKind.NONE));
    service.fault(new Fault(FaultKind.LATE_ANSWERS, null, null, 50L));
    CompletableFuture<Caller.Answer> running =
        caller.send(HttpMethod.POST, "/issue", "", "X-Request-Id", "r-1").toFuture();
    caller.await("/control/runs", runs -> runs.path("total").asInt() == 2);

    CompletableFuture<Void> stopped = service.stop();
    Caller.Answer refusal = caller.post("/issue", "", "X-Request-Id", "r-2");

    assertEquals(refusal.header("x-not-started"), "true");
    assertEquals(running.join().json().path("requestId").asText(), "r-1");
    assertFalse(stopped.isDone());
    silent.dispose();
    stopped.join();
    expectThrows(RuntimeException.class, () -> caller.get("/a"));
  }

  @Test
  public void faultsRefuseCutAndCross() {
    service.fault(Fault.of(FaultKind.FULL));
    assertEquals(caller.get("/a").header("x-not-started"), "true");
    assertEquals(service.runs().total(), 0);
    service.fault(Fault.of(FaultKind.NONE));

    service.fault(Fault.of(FaultKind.CROSSED_ANSWERS));
    assertTrue(caller.get("/a").header("x-request-id").startsWith("other-"));

    service.fault(Fault.of(FaultKind.CUT_STREAM));
    expectThrows(RuntimeException.class, () -> caller.get("/a"));
  }
}
