package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.daemon.proof.FaultName;
import org.skylarkfork.daemon.proof.ProofChecker;
import org.skylarkfork.daemon.proof.ProofEvidence;
import org.skylarkfork.daemon.proof.ProofReport;
import org.skylarkfork.daemon.proof.ProofRun;
import org.skylarkfork.daemon.proof.ProofSettings;
import org.skylarkfork.daemon.soak.AnswerFaults;
import org.skylarkfork.daemon.soak.SoakResult;
import org.skylarkfork.daemon.soak.SoakRun;
import org.skylarkfork.daemon.soak.SoakSettings;
import org.skylarkfork.runtime.settings.Units;
import org.skylarkfork.standin.load.LoadOutcome;

/** Proves the promises with several daemons in this process, under load and faults. */
@Command(
    name = "proof",
    description = "Disturbs several daemons under load and checks every promise afterwards.")
public final class ProofCommand implements Callable<Integer> {

  @Option(name = "--seed", title = "N", description = "Seed of load and faults; 1 if absent.")
  private long seed = 1;

  @Option(name = "--duration", title = "DURATION", description = "Time of the load; 60s if absent.")
  private String duration = "60s";

  @Option(name = "--entries", title = "N", description = "Daemons besides the voters; 2 if absent.")
  private int entries = 2;

  @Option(name = "--rate", title = "N", description = "Requests a second; 20 if absent.")
  private double rate = 20;

  @Option(
      name = "--faults",
      title = "NAMES",
      description =
          "all, none, or names with commas between, such as crash-leader,withdraw; with --processes"
              + " all or none.")
  private String faults = "all";

  @Option(name = "--keep", title = "FOLDER", description = "Keeps data and time lines there.")
  private @Nullable String keep;

  @Option(
      name = "--processes",
      description =
          "Soaks the relay instead: real processes, faults by signals and proxies on loopback.")
  private boolean processes;

  @Option(
      name = "--controls",
      title = "N",
      description = "With --processes: control VMs, an odd number; 3 if absent.")
  private int controls = 3;

  @Option(
      name = "--callers",
      title = "N",
      description = "With --processes: callers at a time; 6 if absent.")
  private int callers = 6;

  @Option(
      name = "--upstreams",
      title = "N",
      description =
          "With --processes: upstreams of the first version; 3 if absent, so that one may be down"
              + " while another is full.")
  private int upstreams = 3;

  @Option(
      name = "--failing",
      title = "SHARE",
      description = "With --processes: share of requests whose first runs fail; 0.07 if absent.")
  private double failing = AnswerFaults.DEFAULT.failingShare();

  @Option(
      name = "--twice",
      title = "SHARE",
      description = "With --processes: share of runs that are answered twice; 0.25 if absent.")
  private double twice = AnswerFaults.DEFAULT.secondAnswerShare();

  @Option(
      name = "--late",
      title = "DURATION",
      description = "With --processes: longest delay of a second answer; 300ms if absent.")
  private String late = AnswerFaults.DEFAULT.maxDelay().toMillis() + "ms";

  @Option(
      name = "--shapes",
      title = "NAMES",
      description =
          "With --processes: shapes of second answers with commas between: whole, without-length,"
              + " cut, cut-on-open-connection; all if absent.")
  private @Nullable String shapes;

  @Override
  public Integer call() throws IOException, InterruptedException {
    Path folder =
        keep == null
            ? Files.createTempDirectory("skylarkfork-proof")
            : Files.createDirectories(Path.of(keep));
    if (processes) {
      return soak(folder);
    }
    try {
      ProofSettings settings =
          new ProofSettings(folder, seed, Units.duration(duration), entries, rate, names(), 0);
      ProofEvidence evidence = new ProofRun(settings).run();
      System.out.println("seed " + seed + ", " + evidence.faults() + " faults");
      System.out.println(outcomes(evidence));
      boolean kept = ProofReport.print(new ProofChecker(evidence).check(), System.out);
      return kept ? ExitCode.SUCCESS : ExitCode.FAILURE;
    } finally {
      if (keep == null) {
        DeletedFolders.delete(folder);
      }
    }
  }

  private int soak(Path folder) throws IOException, InterruptedException {
    SoakSettings settings =
        new SoakSettings(
            folder,
            seed,
            Units.duration(duration),
            controls,
            entries,
            upstreams,
            callers,
            !faults.equals("none"),
            new AnswerFaults(failing, twice, Units.duration(late), shapes()));
    SoakResult result = new SoakRun(settings).run();
    System.out.printf(
        "seed %d: %d processes, %d faults, %d disks lost, %d spared, %d changes, %d requests,"
            + " %d whole, %d second answers, %d findings%n",
        seed,
        result.processes(),
        result.faults().size(),
        result.disksLost(),
        result.disksSpared(),
        result.changes(),
        result.requests(),
        result.whole(),
        result.secondAnswers(),
        result.findings().size());
    result.findings().forEach(System.out::println);
    if (!result.findings().isEmpty()) {
      result.faults().forEach(System.out::println);
      // A finding may not come again with its seed, since faults follow the processes' own times.
      System.out.println("logs are kept in " + folder);
      return ExitCode.FAILURE;
    }
    if (keep == null) {
      DeletedFolders.delete(folder);
    }
    return ExitCode.SUCCESS;
  }

  private static Map<LoadOutcome, Integer> outcomes(ProofEvidence evidence) {
    Map<LoadOutcome, Integer> counts = new EnumMap<>(LoadOutcome.class);
    evidence.records().forEach(record -> counts.merge(record.outcome(), 1, Integer::sum));
    return counts;
  }

  private List<FaultName> names() {
    if (faults.equals("none")) {
      return List.of();
    }
    if (faults.equals("all")) {
      return List.of(FaultName.values());
    }
    return constants(FaultName.class, faults);
  }

  private List<AnswerFaults.Shape> shapes() {
    return shapes == null
        ? AnswerFaults.DEFAULT.shapes()
        : constants(AnswerFaults.Shape.class, shapes);
  }

  /** Returns the constants that names such as {@code crash-leader,withdraw} stand for. */
  private static <E extends Enum<E>> List<E> constants(Class<E> type, String names) {
    return Arrays.stream(names.split(","))
        .map(name -> name.strip().replace('-', '_').toUpperCase(Locale.ROOT))
        .map(name -> Enum.valueOf(type, name))
        .toList();
  }
}
