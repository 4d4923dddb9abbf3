package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.skylarkfork.runtime.startup.DaemonProcess;
import org.skylarkfork.standin.StandIn;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.engine.StandInEngine;
import org.skylarkfork.standin.rating.RatingSettings;
import org.skylarkfork.standin.rating.StandInRating;
import org.skylarkfork.standin.service.ServiceSettings;
import org.skylarkfork.standin.service.StandInService;
import org.skylarkfork.standin.weights.StandInWeights;
import org.skylarkfork.standin.weights.WeightsSettings;
import org.tinylog.Logger;

/** Runs a stand-in for an outside system until it is told to stop. */
@Command(
    name = "standin",
    description = "Runs a stand-in engine, service, rating service or weight store.")
public final class StandinCommand implements ServerCommand {

  @Required
  @AllowedRawValues(allowedValues = {"engine", "service", "rating", "weights"})
  @Arguments(title = "KIND", description = "engine, service, rating or weights.")
  private String kind;

  @Required
  @Option(name = "--settings", title = "FILE", description = "Settings in YAML.")
  private String settings;

  @Override
  public int serve(DaemonProcess process) throws InterruptedException {
    StandIn standIn = standIn(Path.of(settings));
    standIn.start();
    process.onStop(() -> standIn.stop().join());
    process.onHangUp(
        () -> Logger.info("node: settings are read at the start only; restart to change them"));
    new CountDownLatch(1).await();
    return ExitCode.SUCCESS;
  }

  private StandIn standIn(Path file) {
    return switch (kind) {
      case "engine" -> new StandInEngine(EngineSettings.reader().read(file));
      case "service" -> new StandInService(ServiceSettings.reader().read(file));
      case "rating" -> new StandInRating(RatingSettings.reader().read(file));
      default -> new StandInWeights(WeightsSettings.reader().read(file));
    };
  }
}
