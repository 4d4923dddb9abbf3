package org.skylarkfork.runtime.startup;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ProcessEnd}. */
public final class ProcessEndTest {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final List<String> calls = new ArrayList<>();

  /** Forgets the test before. */
  @BeforeMethod
  public void reset() {
    output.reset();
    calls.clear();
  }

  private ProcessEnd end(OutputStream stream) {
    return new ProcessEnd(
        new PrintStream(stream, true, StandardCharsets.UTF_8),
        () -> calls.add("flush, output of " + output.size()),
        status -> calls.add("halt " + status));
  }

  private String text() {
    return output.toString(StandardCharsets.UTF_8);
  }

  /** Guards against a process that ends before the line with its reason is written. */
  @Test
  public void reasonFollowsTheLogAndPrecedesTheEnd() {
    List<String> atEnd = new ArrayList<>();
    ProcessEnd end =
        new ProcessEnd(
            new PrintStream(output, false, StandardCharsets.UTF_8),
            () -> calls.add("flush, output of " + output.size()),
            status -> atEnd.add(status + " after " + text()));
    end.failed("node: broken", new IllegalStateException("because"));
    assertEquals(calls, List.of("flush, output of 0"));
    assertEquals(atEnd.size(), 1);
    assertTrue(atEnd.get(0).startsWith("1 after "), atEnd.get(0));
    assertTrue(atEnd.get(0).contains(" ERROR node: broken status=1"), atEnd.get(0));
    assertTrue(atEnd.get(0).contains("IllegalStateException: because"), atEnd.get(0));
  }

  @Test
  public void plannedStopHasStatusZero() {
    end(output).stopped("node: stopped");
    assertEquals(calls, List.of("flush, output of 0", "halt 0"));
    assertTrue(text().contains(" INFO node: stopped status=0"), text());
  }

  /** Guards against a second failure, a consequence of the first, that is told as the reason. */
  @Test
  public void onlyTheFirstReasonIsTold() {
    ProcessEnd end = end(output);
    end.stopped("node: first");
    end.failed("node: second", null);
    assertEquals(calls, List.of("flush, output of 0", "halt 0"));
    assertFalse(text().contains("second"), text());
  }

  /** Guards against a process that lives on, of no use, since nobody reads its log. */
  @Test
  public void processEndsAlthoughNobodyReadsItsOutput() {
    CountDownLatch never = new CountDownLatch(1);
    OutputStream full =
        new OutputStream() {
          @Override
          public void write(int octet) {
            try {
              never.await();
            } catch (InterruptedException interrupted) {
              Thread.currentThread().interrupt();
            }
          }
        };
    end(full).failed("node: broken", null);
    assertTrue(calls.contains("halt 1"), calls.toString());
    never.countDown();
  }

  /** Guards against a log that can't be flushed and takes the reason with it. */
  @Test
  public void reasonIsToldAlthoughTheLogFails() {
    ProcessEnd end =
        new ProcessEnd(
            new PrintStream(output, true, StandardCharsets.UTF_8),
            () -> {
              throw new NoClassDefFoundError("log");
            },
            status -> calls.add("halt " + status));
    end.failed("node: broken", null);
    assertTrue(text().contains("NoClassDefFoundError: log"), text());
    assertTrue(text().contains("node: broken status=1"), text());
    assertEquals(calls, List.of("halt 1"));
  }
}
