package org.skylarkfork.runtime.startup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link DaemonProcess} without signals of the operating system. */
public final class DaemonProcessTest {

  private ByteArrayOutputStream output;
  private List<String> calls;
  private DaemonProcess process;

  /** Creates a process that records its end. */
  @BeforeMethod
  public void createProcess() {
    output = new ByteArrayOutputStream();
    calls = new ArrayList<>();
    ProcessEnd end =
        new ProcessEnd(
            new PrintStream(output, true, StandardCharsets.UTF_8),
            () -> {},
            status -> calls.add("halt " + status));
    process = new DaemonProcess(end);
  }

  private String text() {
    return output.toString(StandardCharsets.UTF_8);
  }

  /** Guards against a change of the settings that is missed, since it came during the start. */
  @Test
  public void hangUpDuringTheStartReloadsOnce() {
    process.hangUp();
    process.hangUp();
    process.onHangUp(() -> calls.add("reload"));
    assertEquals(calls, List.of("reload"));
    process.hangUp();
    assertEquals(calls, List.of("reload", "reload"));
  }

  @Test
  public void withoutHangUpNothingIsReloaded() {
    process.onHangUp(() -> calls.add("reload"));
    assertEquals(calls, List.of());
  }

  @Test
  public void terminateBeforeTheDaemonExistsEndsTheProcess() {
    process.terminate("SIGTERM");
    assertEquals(calls, List.of("halt 0"));
    assertTrue(text().contains("signal=SIGTERM status=0"), text());
  }

  /** Guards against a daemon that a second signal stops twice, or cuts off. */
  @Test
  public void daemonStopsOnce() {
    process.onStop(
        () -> {
          process.terminate("SIGINT");
          calls.add("stop");
        });
    process.terminate("SIGTERM");
    assertEquals(calls, List.of("stop", "halt 0"));
  }

  /** Guards against a planned stop that looks like a failure, since it makes the start fail. */
  @Test
  public void startThatFailsByThePlannedStopIsNoFailure() {
    process.onStop(() -> process.startFailed("node: can't start", new IllegalStateException("x")));
    process.terminate("SIGTERM");
    assertEquals(calls, List.of("halt 0"));
  }

  /** Guards against a line that hides the signal which ended the process. */
  @Test
  public void taskThatIsDoneByThePlannedStopDoesNotHideTheSignal() {
    process.onStop(() -> process.done("node: done"));
    process.terminate("SIGTERM");
    assertEquals(calls, List.of("halt 0"));
    assertTrue(text().contains("signal=SIGTERM"), text());
  }

  @Test
  public void startThatFailsEndsTheProcess() {
    process.startFailed("node: can't start", new IllegalStateException("because"));
    assertEquals(calls, List.of("halt 1"));
    assertTrue(text().contains("because"), text());
  }

  /** Guards against a failed stop after which the process lives on. */
  @Test
  public void failedStopIsFailure() {
    process.onStop(
        () -> {
          throw new NoClassDefFoundError("stop");
        });
    process.terminate("SIGTERM");
    assertEquals(calls, List.of("halt 1"));
    assertTrue(text().contains("NoClassDefFoundError: stop"), text());
  }

  /** Guards against a process that lives on, of no use, after a thread that it needs has ended. */
  @Test
  public void failureOfEssentialThreadEndsTheProcess() {
    process.threadFailed(new EssentialThread(() -> {}, "storage"), new StackOverflowError("deep"));
    assertEquals(calls, List.of("halt 1"));
    assertTrue(text().contains("thread=storage status=1"), text());
    assertTrue(text().contains("StackOverflowError: deep"), text());
  }

  /** Guards against a thread that ends without a line, and against one that ends the others. */
  @Test
  public void failureOfOtherThreadIsTold() {
    process.threadFailed(new Thread("settings"), new NoClassDefFoundError("late"));
    assertEquals(calls, List.of());
    assertTrue(text().contains("thread=settings"), text());
    assertTrue(text().contains("NoClassDefFoundError: late"), text());
  }
}
