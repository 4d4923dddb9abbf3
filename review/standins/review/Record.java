package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a case: what was sent, answered and run, with milliseconds since its start. */
final class Record implements AutoCloseable {

  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns the milliseconds since the start of the case. */
  long millis() {
    return (System.nanoTime() - startedAt) / 1_000_000;
  }

  synchronized void add(String line) {
    out.printf("%7d %s%n", millis(), line);
  }

  @Override
  public void close() {
    out.close();
  }
}
