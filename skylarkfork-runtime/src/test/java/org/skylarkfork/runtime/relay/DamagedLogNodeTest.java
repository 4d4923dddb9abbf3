package org.skylarkfork.runtime.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.command.Member;
import org.skylarkfork.core.consensus.Role;
import org.skylarkfork.core.overload.EntryCapacity;
import org.skylarkfork.core.overload.OverloadSettings;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RelayLimits;
import org.skylarkfork.core.relay.RelayService;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.loop.MonotonicClock;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of three control VMs, some of which start with a log that was damaged. */
public final class DamagedLogNodeTest {

  private static final int CONTROL_VMS = 3;
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static final Duration DEADLINE = Duration.ofSeconds(60);

  /** Longer than an election and the requests before a founding. */
  private static final Duration OBSERVATION = Duration.ofSeconds(4);

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Codec codec = new Codec();
  private final AtomicReference<@Nullable Throwable> failure = new AtomicReference<>();
  private final List<Path> folders = new ArrayList<>();
  private final List<InetSocketAddress> peers = new ArrayList<>();
  private final List<@Nullable RelayNode> nodes = new ArrayList<>();

  /** Starts three control VMs with empty data folders. */
  @BeforeMethod
  public void startAll() throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      folders.add(Files.createTempDirectory("relay"));
      sockets.add(new ServerSocket(0, 1, LOOPBACK));
      peers.add(new InetSocketAddress(LOOPBACK, sockets.get(vm).getLocalPort()));
      nodes.add(null);
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      start(vm);
    }
  }

  /** Closes the control VMs. */
  @AfterMethod(alwaysRun = true)
  public void stopAll() {
    for (int vm = 0; vm < nodes.size(); vm++) {
      stop(vm);
    }
    nodes.clear();
    folders.clear();
    peers.clear();
    failure.set(null);
  }

  private void start(int vm) {
    RelayNode node =
        new RelayNode(
            settings(vm),
            new MonotonicClock(InstantSource.system(), System::nanoTime),
            new RelayHeaders(),
            new RelayAdmin(codec),
            failure::set);
    nodes.set(vm, node);
    node.start();
  }

  private void stop(int vm) {
    RelayNode node = nodes.get(vm);
    if (node != null) {
      node.close();
      nodes.set(vm, null);
    }
  }

  private RelaySettings settings(int vm) {
    InetSocketAddress anyPort = new InetSocketAddress(LOOPBACK, 0);
    return new RelaySettings(
        "vm-" + vm,
        "a",
        List.of("a"),
        peers.get(vm),
        peers.stream().map(peer -> "127.0.0.1:" + peer.getPort()).toList(),
        anyPort,
        null,
        anyPort,
        null,
        anyPort,
        folders.get(vm),
        true,
        CONTROL_VMS,
        Duration.ofSeconds(5),
        Duration.ofSeconds(1),
        0.9,
        Duration.ofSeconds(1),
        EntryCapacity.UNKNOWN,
        OverloadSettings.DEFAULT);
  }

  private HttpResponse<String> call(int vm, String method, String path, String body)
      throws Exception {
    RelayNode node = nodes.get(vm);
    assertTrue(node != null, "started");
    int port = node.controlAddress().join().getPort();
    URI uri = URI.create("http://127.0.0.1:" + port + "/relay/v1/" + path);
    HttpRequest.BodyPublisher content = HttpRequest.BodyPublishers.ofString(body);
    return client.send(
        HttpRequest.newBuilder(uri).method(method, content).build(),
        HttpResponse.BodyHandlers.ofString());
  }

  private String metrics(int vm) throws Exception {
    RelayNode node = nodes.get(vm);
    assertTrue(node != null, "started");
    URI uri = URI.create("http://127.0.0.1:" + node.metricsAddress().join().getPort() + "/metrics");
    HttpRequest request = HttpRequest.newBuilder(uri).GET().build();
    return client.send(request, HttpResponse.BodyHandlers.ofString()).body();
  }

  private RelayAdmin.Group group(int vm) throws Exception {
    return codec.fromJson(call(vm, "GET", "group", "").body(), RelayAdmin.Group.class);
  }

  private static void await(Callable<Boolean> condition, String expected) throws Exception {
    long end = System.nanoTime() + DEADLINE.toNanos();
    while (!condition.call()) {
      assertTrue(System.nanoTime() < end, expected);
      Thread.onSpinWait();
    }
  }

  private void putConfiguration(int vm, long version) throws Exception {
    RelayConfiguration configuration =
        new RelayConfiguration(
            version,
            List.of(),
            List.of(new RelayService("service", "/health", 100, null)),
            List.of(),
            RelayLimits.DEFAULT);
    String body = codec.toJson(configuration);
    await(() -> call(vm, "PUT", "configuration", body).statusCode() == 200, "accepted " + version);
  }

  private long version(int vm) throws Exception {
    HttpResponse<String> answer = call(vm, "GET", "configuration", "");
    return answer.statusCode() == 200
        ? codec.fromJson(answer.body(), RelayConfiguration.class).version()
        : 0;
  }

  /** Returns whether all control VMs vote, each with the log that it has now. */
  private boolean allVote() throws Exception {
    List<Member> present = new ArrayList<>();
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      present.add(new Member("127.0.0.1:" + peers.get(vm).getPort(), group(vm).instance()));
    }
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      RelayAdmin.Group group = group(vm);
      if (!group.membersAgreed()
          || group.voters().size() != CONTROL_VMS
          || !group.voters().containsAll(present)) {
        return false;
      }
    }
    return true;
  }

  private Path log(int vm) {
    return folders.get(vm).resolve("relay-0");
  }

  /** Changes a byte in the middle of each file of a log. */
  private void damage(int vm) throws IOException {
    try (Stream<Path> files = Files.list(log(vm))) {
      for (Path file : files.toList()) {
        byte[] bytes = Files.readAllBytes(file);
        bytes[bytes.length / 2] ^= 1;
        Files.write(file, bytes);
      }
    }
  }

  /**
   * Guards against a control VM that never comes back since its log is damaged, and against the
   * loss of what was accepted once the others are lost in turn.
   */
  @Test
  public void testControlVmWithDamagedLogJoinsAgain() throws Exception {
    for (int damaged = 0; damaged < CONTROL_VMS; damaged++) {
      putConfiguration(damaged, 2L * damaged + 1);
      await(this::allVote, "three voters");
      final long instance = group(damaged).instance();
      stop(damaged);
      damage(damaged);
      start(damaged);
      await(this::allVote, "three voters again");
      assertTrue(group(damaged).instance() != instance, "a new voter");
      assertTrue(Files.exists(folders.get(damaged).resolve("damaged-relay-0")));
      assertTrue(metrics(damaged).contains("relay_logs_set_aside{kind=\"\"} 1.0"), "metrics");
      assertEquals(version(damaged), 2L * damaged + 1);
      putConfiguration(damaged, 2L * damaged + 2);
    }
    assertNull(failure.get());
  }

  /** Guards against a new group that hides what was accepted, if all logs are damaged at once. */
  @Test
  public void testGroupIsNotFoundedAgainOnceAllLogsAreDamaged() throws Exception {
    putConfiguration(0, 1);
    await(this::allVote, "three voters");
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      stop(vm);
      damage(vm);
    }
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      start(vm);
    }
    long end = System.nanoTime() + OBSERVATION.toNanos();
    while (System.nanoTime() < end) {
      for (int vm = 0; vm < CONTROL_VMS; vm++) {
        RelayAdmin.Group group = group(vm);
        assertEquals(group.voters(), List.of());
        assertEquals(group.role(), Role.FOLLOWER);
      }
    }
    for (int vm = 0; vm < CONTROL_VMS; vm++) {
      assertTrue(Files.exists(folders.get(vm).resolve("damaged-relay-0")));
    }
    assertNull(failure.get());
  }
}
