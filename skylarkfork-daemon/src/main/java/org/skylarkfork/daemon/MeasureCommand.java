package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.Callable;
import org.skylarkfork.standin.measure.daemon.Deployment;
import org.skylarkfork.standin.measure.daemon.FaultKind;
import org.skylarkfork.standin.measure.daemon.HtmlReport;
import org.skylarkfork.standin.measure.daemon.MeasureReport;
import org.skylarkfork.standin.measure.daemon.MeasureRuns;
import org.skylarkfork.standin.measure.daemon.TextTable;

/** Measures the decisions of one daemon against baselines, in virtual time. */
@Command(
    name = "measure",
    description = "Measures the decisions against baselines and writes a report.")
public final class MeasureCommand implements Callable<Integer> {

  private static final String ALL = "all";
  private static final String NONE = "none";

  @Option(name = "--seed", title = "N", description = "Seed of all runs; 1 if absent.")
  private long seed = 1;

  @Option(
      name = "--deployment",
      title = "NAME",
      description = "Which load: bond, gaspruef or both; both if absent.")
  private String deployment = "both";

  @Option(
      name = "--faults",
      title = "LIST",
      description = "Faults, such as engine-silent,cut-streams; all if absent, none for none.")
  private String faults = ALL;

  @Option(name = "--pairs", description = "Runs each two of the faults together as well.")
  private boolean pairs;

  @Option(
      name = "--out",
      title = "FOLDER",
      description = "Folder for measure.json and measure.html; target/measure if absent.")
  private String out = "target/measure";

  @Override
  public Integer call() throws IOException {
    System.out.println(TextTable.head());
    MeasureRuns runs = new MeasureRuns(seed, run -> System.out.println(TextTable.line(run)));
    MeasureReport report = runs.run(Deployment.named(deployment), chosen(), pairs);
    TextTable.lines(report.targets()).forEach(System.out::println);
    Path folder = Files.createDirectories(Path.of(out));
    String json = new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report);
    Files.writeString(folder.resolve("measure.json"), json);
    Files.writeString(folder.resolve("measure.html"), HtmlReport.of(report));
    System.out.println("Wrote measure.json and measure.html to " + folder + ".");
    return ExitCode.SUCCESS;
  }

  private Set<FaultKind> chosen() {
    EnumSet<FaultKind> chosen = EnumSet.noneOf(FaultKind.class);
    if (faults.equals(ALL)) {
      return EnumSet.allOf(FaultKind.class);
    }
    if (!faults.equals(NONE)) {
      Arrays.stream(faults.split(",")).map(FaultKind::ofOption).forEach(chosen::add);
    }
    return chosen;
  }
}
