import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** The record of a script: what was sent, answered and run. */
final class Journal {

  private final Path file;
  private final long startedAt = System.nanoTime();

  Journal(String folder) throws IOException {
    this.file = Path.of(folder, "record.txt");
    Files.writeString(file, "");
  }

  synchronized void add(String line) {
    double seconds = (System.nanoTime() - startedAt) / 1e9;
    try {
      Files.writeString(
          file, String.format("%8.3f s  %s%n", seconds, line), StandardOpenOption.APPEND);
    } catch (IOException unwritable) {
      throw new IllegalStateException(unwritable);
    }
  }
}
