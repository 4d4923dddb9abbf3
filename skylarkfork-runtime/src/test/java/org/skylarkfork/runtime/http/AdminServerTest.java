package org.skylarkfork.runtime.http;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.effect.OperatorEffect;
import org.skylarkfork.core.event.OperatorEvent;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.Journal;
import org.skylarkfork.runtime.loop.ReducerLoop;
import org.skylarkfork.runtime.trace.Metrics;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests {@link AdminServer} over raw connections on loopback. */
public class AdminServerTest {

  private static final String DRAIN =
      "{\"change\":{\"@type\":\"ConfigurationChange.DrainVm\",\"vm\":\"vm-1\"}}";

  private final Queue<OperatorEvent> events = new ConcurrentLinkedQueue<>();
  private ReducerLoop loop;
  private AdminServer server;
  private InetSocketAddress address;

  /** Opens a listener over a reducer that accepts each change. */
  @BeforeMethod
  public void open() {
    events.clear();
    AtomicInteger ids = new AtomicInteger();
    loop =
        new ReducerLoop(
            InstantSource.system(),
            effect -> server.execute((OperatorEffect) effect),
            Journal.NONE,
            failure -> {});
    server = server(0, () -> "call-" + ids.incrementAndGet());
    loop.start(
        new Reducer(
            List.of(
                (event, now, output) -> {
                  if (event instanceof OperatorEvent.ChangeRequested change) {
                    events.add(change);
                    output.effect(
                        new OperatorEffect.ChangeAccepted(
                            change.callId(), change.changeId(), 7, Instant.EPOCH));
                  }
                })));
    address = server.start();
  }

  private AdminServer server(int port, Supplier<String> ids) {
    return new AdminServer(
        HttpSettings.usual("127.0.0.1", port),
        loop,
        new Operators(),
        new EdgeFixture.Queries(),
        new Metrics(),
        InstantSource.system(),
        ids,
        new ObjectMapper(),
        new Codec());
  }

  /** Closes it. */
  @AfterMethod
  public void close() {
    server.close();
    loop.close();
  }

  private String exchange(String method, String path, String headers, String body)
      throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(20_000);
      EdgeFixture.send(
          socket,
          method
              + " "
              + path
              + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
              + headers
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n"
              + body);
      return EdgeFixture.readAll(socket);
    }
  }

  @DataProvider
  Object[][] refusals() {
    String key = "Authorization: Bearer k\r\n";
    String changes = "/admin/v1/changes";
    return new Object[][] {
      {"POST", changes, "", DRAIN, 401, "Bearer"},
      {"POST", changes, key, "{", 400, "not JSON"},
      {"POST", changes, key, "[]", 400, "one JSON object"},
      {"POST", changes, key, "{\"change\":1}", 400, "docs/CONFIGURATION.md"},
      {"POST", changes, key, DRAIN.replace("DrainVm", "Nothing"), 400, "can't be read"},
      {"POST", changes, key + "If-Match: \"x\"\r\n", DRAIN, 400, "whole number"},
      {"POST", changes, key, DRAIN.replace("\"vm-1\"", "null"), 400, "is missing"},
      {"POST", changes, key + longId(), DRAIN, 400, "128"},
      {"DELETE", "/admin/v1/configuration", key, "", 404, "DELETE"},
      {"GET", "/admin/v1/revisions/first", key, "", 400, "whole number"},
      {"GET", "/admin/v1/differences", key, "", 400, "whole number"},
      {"GET", "/admin/v1/members", "Authorization: Bearer other\r\n", "", 401, "operator"},
      {"POST", "/admin/v1/dry-run", "Authorization: Bearer other\r\n", "{}", 401, "operator"},
      {"GET", "/admin/v1/differences?from=%zz", key, "", 400, "percent-encoded"},
      {"GET", "/admin/v1/revisions?%", key, "", 400, "percent-encoded"},
      {"POST", "/admin/v1/dry-run?team=%z", key, "{}", 400, "percent-encoded"},
      {"GET", "/admin/v1/%zz", key, "", 400, "percent-encoded"},
      {"GET", "/nothing", key, "", 404, "/nothing"}
    };
  }

  private static String longId() {
    return HttpNames.CHANGE_ID + ": " + "c".repeat(129) + "\r\n";
  }

  @Test(dataProvider = "refusals")
  public void refuses(
      String method, String path, String headers, String body, int status, String part)
      throws IOException {
    String got = exchange(method, path, headers, body);
    assertTrue(got.startsWith("HTTP/1.1 " + status), got);
    assertTrue(got.contains(part), got);
    String lower = got.toLowerCase(Locale.ROOT);
    assertTrue(lower.contains("skylarkfork-run-state: not-run"), got);
    assertTrue(lower.contains("x-request-id: call-"), got);
    assertTrue(events.isEmpty(), events.toString());
  }

  /** Guards against a daemon that ends because one of its ports is in use for a moment. */
  @Test(timeOut = 60_000)
  public void portInUseForOneMomentIsBoundOnceItIsReleased() throws Exception {
    try (ServerSocket used = new ServerSocket(0, 1, address.getAddress())) {
      AdminServer second = server(used.getLocalPort(), () -> "call");
      FutureTask<InetSocketAddress> starting = new FutureTask<>(second::start);
      Thread thread = new Thread(starting, "starting");
      thread.setDaemon(true);
      thread.start();
      assertThrows(TimeoutException.class, () -> starting.get(1, TimeUnit.SECONDS));
      used.close();
      assertEquals(starting.get().getPort(), used.getLocalPort());
      second.close();
    }
  }

  @Test
  public void takesChange() throws IOException {
    String headers =
        "Authorization: Bearer k\r\nIf-Match: \"6\"\r\n" + HttpNames.CHANGE_ID + ": c1\r\n";
    String got = exchange("POST", "/admin/v1/changes", headers, DRAIN);
    assertTrue(got.startsWith("HTTP/1.1 200"), got);
    assertTrue(got.toLowerCase(Locale.ROOT).contains("etag: \"7\""), got);
    OperatorEvent.ChangeRequested asked = (OperatorEvent.ChangeRequested) events.remove();
    assertEquals(asked.change(), new ConfigurationChange.DrainVm("vm-1"));
    assertEquals(asked.changeId(), "c1");
    assertEquals(asked.expectedRevision(), Long.valueOf(6));
  }

  private static final class Operators implements AdminQueries {
    @Override
    public CompletableFuture<Boolean> isOperator(String keyHash) {
      return CompletableFuture.completedFuture(keyHash.equals(Sha256.hex("k")));
    }

    @Override
    public CompletableFuture<Object> view(String view, String argument) {
      return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<Boolean> refreshGauges() {
      return CompletableFuture.completedFuture(true);
    }
  }
}
