package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.message.RelayMessage;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.relay.UpstreamInstance;
import org.skylarkfork.runtime.transport.PeerTransport;
import org.skylarkfork.runtime.transport.TransportSettings;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of effects that can't be carried out, on a daemon with real connections. */
public final class FailingEffectsNodeTest extends RelayNodeHarness {

  /** Addresses that are valid and to which no connection can be opened. */
  private static final List<String> ODD_ADDRESSES =
      List.of("[::1]:1", "0.0.0.0:1", "255.255.255.255:9", "224.0.0.1:9");

  private static final int MAX_WAIT_MILLIS = 10_000;

  private static final ScriptedUpstream.Script ANSWERS =
      (requestNumber, head, out) -> {
        out.write(ScriptedUpstream.response(head, 200, "the answer"));
        return true;
      };

  private static final ScriptedUpstream.Script CLOSES =
      (requestNumber, head, out) -> {
        out.write(
            ScriptedUpstream.bytes(
                "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\nX-Request-Id: "
                    + ScriptedUpstream.requestIdIn(head)
                    + "\r\n\r\n"));
        return false;
      };

  private volatile Connecting connecting = Connecting.WORKS;

  /** What happens when the daemon connects to an upstream. */
  private enum Connecting {
    WORKS,
    THROWS,
    THROWS_ERROR
  }

  @Override
  UpstreamConnector connector() {
    connecting = Connecting.WORKS;
    return this::connect;
  }

  @Override
  RelayDialect dialect() {
    return new ThrowingDialect();
  }

  private Future<Void> connect(Bootstrap bootstrap, InetSocketAddress address) {
    return switch (connecting) {
      case WORKS -> bootstrap.connect(address);
      case THROWS -> throw new IllegalStateException("no socket can be opened");
      case THROWS_ERROR -> throw new NoClassDefFoundError("a class can't be loaded");
    };
  }

  private void assertServes() throws Exception {
    assertEquals(failures, List.of());
    String answer = sendUntilServed("/lookup/x", "after-" + System.nanoTime());
    assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
    assertEquals(failures, List.of());
  }

  /** Guards against a daemon that ends because an attempt's connection can't be opened. */
  @Test
  public void attemptFailsIfConnectorThrows() throws Exception {
    serveWith(CLOSES);
    sendUntilServed("/lookup/x", "first");
    for (Connecting failing : List.of(Connecting.THROWS, Connecting.THROWS_ERROR)) {
      connecting = failing;
      String answer = exchange("/book/x", "second-" + failing, "body");
      assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
      connecting = Connecting.WORKS;
      assertServes();
    }
  }

  /** Guards against a daemon that ends because an upstream announces an address of no use. */
  @Test
  public void oddAddressesOfUpstreamsEndNothing() throws Exception {
    serveWith(ANSWERS);
    sendUntilServed("/lookup/x", "first");
    for (int number = 0; number < ODD_ADDRESSES.size(); number++) {
      String id = "odd-" + number;
      String address = ODD_ADDRESSES.get(number);
      putUntilAccepted(
          "upstreams/" + id,
          codec.toJson(new UpstreamInstance(id, "service", address, "a", "v1", 4, 1, 0)));
    }
    for (int request = 0; request < 5 * ODD_ADDRESSES.size(); request++) {
      exchange("/lookup/x", "request-" + request, "body");
    }
    assertServes();
  }

  /**
   * Guards against a daemon that ends, or a request that is never answered, because a request can't
   * be built for its upstream; the upstream and its connection go on serving others.
   */
  @Test
  public void attemptFailsIfRequestCannotBeBuilt() throws Exception {
    serveWith(ANSWERS);
    sendUntilServed("/lookup/x", "first");
    String answer =
        statusLine(request("/book/x", "odd", "key\r\n" + ThrowingDialect.UNSENDABLE + ": 1"));
    assertEquals(answer, "HTTP/1.1 503 Service Unavailable");
    assertServes();
    assertEquals(upstreams.get(0).connections(), 2);
  }

  /**
   * Guards against an answered request that never ends for the daemon, and a connection that is
   * never closed, because the request behind it on the connection can't be read.
   */
  @Test
  public void pipelinedRequestThatCannotBeReadEndsItsConnection() throws Exception {
    serveWith(ANSWERS);
    sendUntilServed("/lookup/x", "first");
    String kept = request("/lookup/x", "kept", "key").replace("Connection: close\r\n", "");
    String odd = request("/lookup/x", "odd", "key\r\n" + ThrowingDialect.UNREADABLE + ": 1");
    try (Socket socket = new Socket(LOOPBACK, node().callerAddress().getPort())) {
      socket.setSoTimeout(MAX_WAIT_MILLIS);
      socket.getOutputStream().write((kept + odd).getBytes(StandardCharsets.ISO_8859_1));
      byte[] answer = socket.getInputStream().readAllBytes();
      String text = new String(answer, StandardCharsets.UTF_8);
      assertTrue(text.startsWith("HTTP/1.1 200 "), text);
      assertEquals(text.split("HTTP/1.1 ", -1).length - 1, 1, text);
    }
    assertServes();
  }

  /** Returns the first line of the answer, or the empty text if the connection was closed. */
  private String statusLine(String request) throws IOException {
    assertNotNull(node().callerAddress());
    try (Socket socket = new Socket(LOOPBACK, node().callerAddress().getPort())) {
      socket.setSoTimeout(MAX_WAIT_MILLIS);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      InputStreamReader in = new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8);
      String line = new BufferedReader(in).readLine();
      return line == null ? "" : line;
    }
  }

  private static String request(String path, String id, String key) {
    return "POST "
        + path
        + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: "
        + id
        + "\r\nAuthorization: Bearer "
        + key
        + "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody";
  }

  /** Guards against a daemon that ends because of control bytes in a caller's request. */
  @Test
  public void controlBytesInRequestsEndNothing() throws Exception {
    serveWith(ANSWERS);
    sendUntilServed("/lookup/x", "first");
    StringBuilder unanswered = new StringBuilder();
    for (int odd = 0; odd <= 0xff; odd += odd == ' ' ? 0x7f - ' ' : 1) {
      if (odd != '\n' && odd != '\r') {
        String inPath = statusLine(request("/lookup/a" + (char) odd + "b", "path-" + odd, "key"));
        String inId = statusLine(request("/lookup/x", "id-" + (char) odd + "-end", "unknown"));
        if (inPath.isEmpty() || inId.isEmpty()) {
          unanswered.append(odd).append('\n');
        }
      }
    }
    assertEquals(failures, List.of());
    assertEquals(unanswered.toString(), "");
    assertServes();
  }

  /**
   * Guards against a control VM that ends because a peer's name, which is its address, is none: the
   * answer to it can't be sent.
   */
  @Test(dataProvider = "oddPeerNames")
  public void oddPeerNamesEndNothing(String name) throws Exception {
    serveWith(ANSWERS);
    sendUntilServed("/lookup/x", "first");
    MultiThreadIoEventLoopGroup loop =
        new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (PeerTransport peer = startPeer(name, loop)) {
      InetSocketAddress address = AddressedPeers.addressOf(peerName());
      peer.execute(new PeerEffect.LearnPeer(peerName(), "127.0.0.1", address.getPort()));
      for (int tries = 0; tries < MAX_TRIES && !hasDropped() && failures.isEmpty(); tries++) {
        peer.execute(new PeerEffect.SendToPeer(peerName(), poll()));
        exchange("/lookup/x", "poll-" + tries, "body");
      }
      assertServes();
      assertTrue(hasDropped(), metrics());
    } finally {
      loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }
  }

  /** Names that aren't addresses. */
  @DataProvider
  public Object[][] oddPeerNames() {
    return new Object[][] {{"no-address"}, {"127.0.0.1:99999"}, {"127.0.0.1:-1"}, {""}, {":"}};
  }

  private boolean hasDropped() throws Exception {
    return metrics().contains("failed_effects_total{kind=\"SendToPeer\"}");
  }

  private static PeerTransport startPeer(String name, MultiThreadIoEventLoopGroup loop) {
    PeerTransport transport =
        new PeerTransport(
            new TransportSettings(name, "relay", 1, "127.0.0.1", 0, RelayPeerLimits.LIMITS, null),
            RelayCodec.create(),
            event -> {},
            loop);
    transport.start();
    return transport;
  }

  private static RelayMessage poll() {
    return new RelayMessage.EntryPoll(
        "127.0.0.1:1",
        "a",
        true,
        1,
        Instant.EPOCH,
        0,
        0,
        0,
        0,
        true,
        false,
        0,
        List.of(),
        List.of(),
        List.of(),
        EntryCapacity.UNKNOWN);
  }
}
