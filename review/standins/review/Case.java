package review;

import java.nio.file.Path;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Runs a case and ends with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
abstract class Case {

  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  /** Threads of clients; none of them keeps the process alive. */
  static final ExecutorService CLIENTS =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });

  /** Returns whether the case plays its disruption. */
  static boolean isTroubled() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  /** Plays the case; returns whether the rule was broken. */
  abstract boolean play(Record record) throws Exception;

  /** Plays the case with the record in the given file and ends the process. */
  final void run(String recordFile) {
    int result = NOT_RUN;
    try (Record record = new Record(Path.of(recordFile))) {
      record.add("disruption: " + (isTroubled() ? "yes" : "no"));
      try {
        result = play(record) ? BROKEN : HELD;
        record.add(result == BROKEN ? "RULE BROKEN" : "rule held");
      } catch (Exception failure) {
        record.add("the case couldn't run: " + failure);
        failure.printStackTrace();
      }
    } catch (Exception failure) {
      failure.printStackTrace();
    }
    System.out.println(
        result == BROKEN ? "rule broken" : result == HELD ? "rule held" : "could not run");
    System.exit(result);
  }
}
