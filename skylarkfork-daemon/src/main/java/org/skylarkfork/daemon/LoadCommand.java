package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.settings.Units;
import org.skylarkfork.standin.load.LoadRecord;
import org.skylarkfork.standin.load.LoadReport;
import org.skylarkfork.standin.load.LoadRunner;
import org.skylarkfork.standin.load.LoadSettings;

/** Sends a load as callers do and reports what came back. */
@Command(
    name = "load",
    description = "Sends a burst or a steady load over the listed entries and checks each answer.")
public final class LoadCommand implements Callable<Integer> {

  @Required
  @Option(name = "--entry", title = "HOST:PORT", description = "An entry to ask first; repeatable.")
  private List<String> entries = new ArrayList<>();

  @Required
  @Option(name = "--team-key", title = "KEY", description = "Key of a team; repeatable.")
  private List<String> teamKeys = new ArrayList<>();

  @Option(name = "--requests", title = "N", description = "How many requests; 1000 if absent.")
  private int requests = 1000;

  @Option(name = "--rate", title = "N", description = "Requests a second; all at once if absent.")
  private double rate;

  @Option(name = "--drafts", title = "W", description = "Weight of drafts; 1 if absent.")
  private int drafts = 1;

  @Option(name = "--lookups", title = "W", description = "Weight of lookups; 1 if absent.")
  private int lookups = 1;

  @Option(name = "--issues", title = "W", description = "Weight of issued certificates.")
  private int issues = 1;

  @Option(name = "--sessions", title = "N", description = "Sessions of the drafts; none if absent.")
  private int sessions;

  @Option(name = "--model", title = "MODEL", description = "Model that drafts name.")
  private String model = "auto";

  @Option(name = "--lookup-service", title = "NAME", description = "Service of the lookups.")
  private String lookupService = "register";

  @Option(name = "--issue-service", title = "NAME", description = "Service of the certificates.")
  private String issueService = "certificates";

  @Option(name = "--deadline", title = "DURATION", description = "Deadline of a request.")
  private String deadline = "30s";

  @Option(name = "--resends", title = "N", description = "Resends of what was not run or lost.")
  private int resends = 3;

  @Option(name = "--seed", title = "N", description = "Seed of the mix.")
  private long seed = 1;

  @Option(name = "--records", title = "FILE", description = "Writes a JSON line a request.")
  private @Nullable String records;

  @Override
  public Integer call() throws IOException {
    LoadSettings settings =
        new LoadSettings(
            entries,
            teamKeys,
            requests,
            rate,
            drafts,
            lookups,
            issues,
            sessions,
            model,
            lookupService,
            issueService,
            Units.duration(deadline),
            resends,
            seed);
    String run = "load-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX);
    List<LoadRecord> ended = new LoadRunner(settings, run).run(record -> {});
    if (records != null) {
      Codec codec = new Codec();
      Files.write(Path.of(records), ended.stream().map(codec::toJson).toList());
    }
    LoadReport report = LoadReport.of(ended);
    System.out.println(
        new ObjectMapper().writerWithDefaultPrettyPrinter().writeValueAsString(report));
    return report.mixed() == 0 ? ExitCode.SUCCESS : ExitCode.FAILURE;
  }
}
