package org.skylarkfork.runtime.relay;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.skylarkfork.runtime.startup.EarlyListeners;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;

/**
 * Starts, beside the daemon of the harness, an entry whose links to upstreams can be cut, so that
 * it reaches them through that daemon.
 */
abstract class ForwardingNodeHarness extends RelayNodeHarness {

  private @Nullable CuttableNetwork network;
  private @Nullable RelayNode cutEntry;

  /** Starts the entry whose links are cut, beside the daemon of the harness. */
  @BeforeMethod(dependsOnMethods = "start")
  public void startEntry() throws IOException {
    CuttableNetwork links = new CuttableNetwork();
    network = links;
    InetSocketAddress anyPort = new InetSocketAddress(LOOPBACK, 0);
    RelayNode started =
        new RelayNode(
            settings(anyPort),
            new EarlyListeners(),
            new MonotonicClock(InstantSource.system(), System::nanoTime),
            links,
            new RelayHeaders(),
            new RelayAdmin(codec),
            failure -> {
              throw new AssertionError(failure);
            });
    started.start();
    cutEntry = started;
  }

  private RelaySettings settings(InetSocketAddress anyPort) throws IOException {
    InetSocketAddress peer;
    try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
      peer = new InetSocketAddress(LOOPBACK, socket.getLocalPort());
    }
    return new RelaySettings(
        "cut",
        "a",
        List.of("a"),
        peer,
        List.of(peerName()),
        anyPort,
        null,
        null,
        null,
        anyPort,
        null,
        false,
        1,
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        0.9,
        Duration.ofSeconds(1),
        EntryCapacity.UNKNOWN,
        OverloadSettings.DEFAULT);
  }

  /** Closes the entry and its links. */
  @AfterMethod
  public void closeEntry() throws IOException {
    cutEntry().close();
    network().close();
  }

  final RelayNode cutEntry() {
    if (cutEntry == null) {
      throw new IllegalStateException("the entry isn't started");
    }
    return cutEntry;
  }

  final CuttableNetwork network() {
    if (network == null) {
      throw new IllegalStateException("the links don't exist yet");
    }
    return network;
  }

  final void awaitOtherEntry() throws Exception {
    String served = "";
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      served = metricsOf(cutEntry());
      if (served.contains("relay_forwarders{kind=\"\"} 1.0")) {
        return;
      }
    }
    throw new AssertionError("the other entry isn't known: " + served);
  }

  final void awaitServed(String path) throws IOException {
    sendUntilServed(path, "first", MAX_TRIES);
  }

  final void sendUntilServed(String path, String id, int maxTries) throws IOException {
    String answer = "";
    for (int tries = 0; tries < maxTries; tries++) {
      answer = send(path, id + "-" + tries);
      if (answer.startsWith("HTTP/1.1 200")) {
        return;
      }
    }
    throw new AssertionError("not served in " + maxTries + " tries: " + answer);
  }

  final String send(String path, String id) throws IOException {
    try (Socket socket = new Socket(LOOPBACK, cutEntry().callerAddress().getPort())) {
      String request =
          "POST "
              + path
              + " HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: "
              + id
              + "\r\n"
              + "Authorization: Bearer key\r\n"
              + "Connection: close\r\n"
              + "Content-Length: 4\r\n\r\n"
              + "body";
      socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      InputStream in = socket.getInputStream();
      for (int read = in.read(); read >= 0; read = in.read()) {
        all.write(read);
      }
      return all.toString(StandardCharsets.UTF_8);
    }
  }
}
