package org.skylarkfork.runtime.trace;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.skylarkfork.core.effect.TraceEffect;
import org.tinylog.Logger;

/**
 * Writes log lines on a thread of its own, so that a slow reader of the log never holds a request.
 *
 * <p>What doesn't fit into its buffer is dropped and counted. A line is {@code node=NAME part=PART}
 * and the facts of the decision.
 */
public final class BoundedLog {

  private static final int MAX_WAITING = 2000;

  /** Maximum number of characters of a line, several times that of the usual ones. */
  private static final int MAX_CHARACTERS = 4000;

  /**
   * Time in which lines gather before they are written, in milliseconds. Written one by one, each
   * wakes this thread and the library's, which is the most that a decision costs after the request
   * itself. A crash loses this much of the log.
   */
  private static final long GATHERING_MILLIS = 100;

  private final String node;
  private final LogBudget budget = new LogBudget();
  private final BlockingQueue<Line> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
  private final LongAdder dropped = new LongAdder();
  private long toldMillis;

  private record Line(boolean warning, String text) {}

  /**
   * Starts the log.
   *
   * @param node name of the daemon
   */
  public BoundedLog(String node) {
    this.node = node;
    Thread thread = new Thread(this::write, "log");
    thread.setDaemon(true);
    thread.start();
  }

  /**
   * Adds a line; used by one thread only.
   *
   * @param line the line
   * @param millis the present time in milliseconds
   */
  public void add(TraceEffect.LogLine line, long millis) {
    String kind = line.part() + (line.warning() ? " warning" : "");
    if (budget.take(kind, millis)) {
      offer(line.warning(), "part=" + line.part() + " " + line.sentence());
    }
    if (millis - toldMillis >= 1000) {
      toldMillis = millis;
      tellLeftOut();
    }
  }

  private void tellLeftOut() {
    long lines = budget.leftOut() + dropped.sumThenReset();
    if (lines > 0) {
      offer(true, "part=log event=lines_left_out count=" + lines);
    }
  }

  private void offer(boolean warning, String text) {
    String bounded = text.substring(0, Math.min(MAX_CHARACTERS, text.length()));
    if (!waiting.offer(new Line(warning, "node=" + node + " " + bounded))) {
      dropped.increment();
    }
  }

  private static void write(Line line) {
    if (line.warning()) {
      Logger.warn(line.text());
    } else {
      Logger.info(line.text());
    }
  }

  private void write() {
    try {
      List<Line> gathered = new ArrayList<>();
      while (true) {
        gathered.add(waiting.take());
        TimeUnit.MILLISECONDS.sleep(GATHERING_MILLIS);
        waiting.drainTo(gathered);
        gathered.forEach(BoundedLog::write);
        gathered.clear();
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }
}
