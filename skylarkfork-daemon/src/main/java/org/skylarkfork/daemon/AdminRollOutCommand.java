package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.RollOut;

/** Starts, moves on, halts or ends a roll-out. */
@Command(
    name = "roll-out",
    description = "Starts, advances, pauses, resumes or aborts the roll-out of a model.")
public final class AdminRollOutCommand extends AdminOptions {

  @Required
  @AllowedRawValues(allowedValues = {"start", "advance", "pause", "resume", "abort"})
  @Arguments(title = "ACTION", description = "start, advance, pause, resume or abort.")
  private String action;

  @Required
  @Option(name = "--model", title = "MODEL", description = "Name of the model.")
  private String model;

  @Option(name = "--from", title = "VERSION", description = "Version to replace, for start.")
  private @Nullable String from;

  @Option(name = "--to", title = "VERSION", description = "Version to roll out, for start.")
  private @Nullable String to;

  @Option(
      name = "--percent",
      title = "N",
      description = "Share of new work at a step, for start; given once a step.")
  private List<Integer> percents = new ArrayList<>();

  @Option(name = "--step", title = "N", description = "Step to move to, from 0, for advance.")
  private int step;

  @Override
  public Integer call() throws IOException, InterruptedException {
    return switch (action) {
      case "start" -> start();
      case "advance" -> submit(new ConfigurationChange.AdvanceRollOut(model, step));
      case "pause" -> submit(new ConfigurationChange.PauseRollOut(model));
      case "resume" -> submit(new ConfigurationChange.ResumeRollOut(model));
      default -> submit(new ConfigurationChange.AbortRollOut(model));
    };
  }

  private int start() throws IOException, InterruptedException {
    if (from == null || to == null || percents.isEmpty()) {
      System.err.println("Starting needs --from, --to and at least one --percent.");
      return ExitCode.USAGE;
    }
    List<RollOut.Step> steps =
        percents.stream().map(share -> new RollOut.Step(share, List.of(), List.of())).toList();
    return submit(new ConfigurationChange.StartRollOut(model, from, to, steps));
  }
}
