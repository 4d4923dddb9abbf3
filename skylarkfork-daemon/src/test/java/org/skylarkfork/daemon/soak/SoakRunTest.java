package org.skylarkfork.daemon.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.testng.annotations.Test;

/** Tests of the soak: a short run, and that its checks notice what they are for. */
public final class SoakRunTest {

  private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");

  /** Real processes keep their promises under some faults from outside. */
  @Test
  public void shortSoakKeepsThePromises() throws IOException, InterruptedException {
    SoakSettings settings =
        new SoakSettings(
            Files.createTempDirectory("soak"),
            1,
            Duration.ofSeconds(8),
            3,
            2,
            2,
            4,
            true,
            AnswerFaults.DEFAULT);
    SoakResult result = new SoakRun(settings).run();
    assertEquals(result.findings(), List.of(), result.toString());
    assertTrue(result.whole() > 0, result.toString());
  }

  /**
   * Daemons of the soak have ports that no outgoing connection is given. One was taken so before
   * its daemon started; the group wasn't founded for a minute, and the soak reported that as a
   * finding.
   */
  @Test
  public void portsOfDaemonsAreNotThoseOfOutgoingConnections() throws IOException {
    SoakSettings settings =
        new SoakSettings(
            Files.createTempDirectory("soak"),
            1,
            Duration.ofSeconds(8),
            3,
            2,
            2,
            4,
            true,
            AnswerFaults.DEFAULT);
    try (SoakSystem system = new SoakSystem(settings, new RunWitness(), new ArrayList<>())) {
      for (int port : system.controlPorts()) {
        assertTrue(port < 32_768, "ephemeral: " + port);
      }
    }
  }

  /**
   * Guards against two soaks that take each other's ports while a daemon is down: the daemon halts
   * at its next start, and the group isn't founded for a minute.
   */
  @Test
  public void soaksHaveNoPortInCommon() throws IOException {
    try (PortBlock one = PortBlock.take();
        PortBlock other = PortBlock.take()) {
      Set<Integer> ports = new HashSet<>();
      for (int taken = 0; taken < 10; taken++) {
        assertTrue(ports.add(one.next()));
        assertTrue(ports.add(other.next()));
      }
    }
  }

  /**
   * Guards against a wait for the end of a process that was started after the signal had found none
   * to tell, and so goes on.
   */
  @Test
  public void processThatDoesNotRunIsNotToldToStop() throws IOException, InterruptedException {
    RelayProcess process = process("node: one", new ArrayList<>());
    assertNull(process.terminate());
  }

  private static RelayProcess process(String settings, List<String> findings) throws IOException {
    return new RelayProcess(
        "one", Files.createTempDirectory("soak"), settings, List.of(), findings);
  }

  /** Guards against a soak whose next restart covers a process that ended by itself. */
  @Test
  public void endThatNobodyAskedForIsFound() throws IOException, InterruptedException {
    List<String> findings = new ArrayList<>();
    RelayProcess process = process("nonsense: true", findings);
    process.start();
    process.awaitEnd();
    process.start();
    assertEquals(findings.size(), 1, findings.toString());
    assertTrue(findings.get(0).startsWith("one ended by itself with 1;"), findings.get(0));
    process.kill();
    process.checkEnd();
    assertEquals(findings.size(), 1, findings.toString());
  }

  /**
   * Guards against a soak that appends a second torn record to a log that wasn't recovered from the
   * first: no loss of power leaves that, and the daemon rightly rejects it.
   */
  @Test
  public void logIsTornOnceUntilItIsRecovered() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("soak");
    RelayProcess process =
        new RelayProcess("one", folder, "node: one", List.of(), new ArrayList<>());
    Path log = folder.resolve("one").resolve("log-1");
    ByteBuffer record = ByteBuffer.allocate(200).putLong(1).putInt(100);
    Files.write(log, record.array());
    process.tearLog(0.5);
    long torn = Files.size(log);
    assertEquals(torn, 200 + 56);
    process.tearLog(0.9);
    assertEquals(Files.size(log), torn);
  }

  private static SoakAnswer answer(SoakAnswer.Kind kind, String key, int status, boolean whole) {
    return new SoakAnswer("one", kind, key, 0, NOW, NOW, status, whole, "", List.of());
  }

  private static int found(SoakAnswer answer, int ran, Duration takenAway) {
    RunWitness runs = new RunWitness();
    for (int run = 0; run < ran; run++) {
      runs.begin("one");
    }
    return new SoakChecker(
            List.of(answer), runs, List.of(new SoakOperator.Accepted(8, NOW.minus(takenAway))))
        .findings()
        .size();
  }

  @Test
  public void eachCheckNoticesItsViolation() {
    Duration none = Duration.ZERO;
    assertEquals(found(answer(SoakAnswer.Kind.LOOKUP, "lasting", 200, true), 2, none), 0);
    assertEquals(found(answer(SoakAnswer.Kind.LOOKUP, "lasting", 200, false), 1, none), 1);
    assertEquals(found(answer(SoakAnswer.Kind.BOOKING, "lasting", 200, true), 2, none), 1);
    assertEquals(found(answer(SoakAnswer.Kind.BOOKING, "lasting", 503, false), 1, none), 1);
    assertEquals(found(answer(SoakAnswer.Kind.BOOKING, "lasting", 502, false), 1, none), 0);
    Duration late = Duration.ofMillis(5001);
    assertEquals(found(answer(SoakAnswer.Kind.LOOKUP, "key-7", 200, true), 1, late), 1);
    assertEquals(found(answer(SoakAnswer.Kind.LOOKUP, "key-8", 200, true), 1, late), 0);
    assertEquals(
        found(answer(SoakAnswer.Kind.LOOKUP, "key-7", 200, true), 1, Duration.ofMillis(4999)), 0);
  }

  private static int foundOfMarks(String body, int status) {
    RunWitness runs = new RunWitness();
    runs.begin("one");
    runs.onFailed("one", 1);
    runs.begin("one");
    SoakAnswer.Kind kind = SoakAnswer.Kind.LOOKUP;
    SoakAnswer answer =
        new SoakAnswer("one", kind, "lasting", 0, NOW, NOW, status, true, "", RunMark.in(body));
    return new SoakChecker(List.of(answer), runs, List.of()).findings().size();
  }

  /** Guards against a soak that takes the second answer to an earlier run for a right one. */
  @Test
  public void answersOfOtherRunsAreNoticed() {
    assertEquals(foundOfMarks("the answer to one [run 2]", 200), 0);
    assertEquals(foundOfMarks("the answer to one [run 2 again]", 200), 0);
    assertEquals(foundOfMarks("the answer to one [run 1]", 200), 1);
    assertEquals(foundOfMarks("the answer to one [run 1 again]", 200), 2);
    assertEquals(foundOfMarks("failed [run 1 again]", 500), 1);
    assertEquals(foundOfMarks("failed [run 1]", 500), 0);
    assertEquals(foundOfMarks("the answer to one [run 2]", 500), 1);
  }
}
