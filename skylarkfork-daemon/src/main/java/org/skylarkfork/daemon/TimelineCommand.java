package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.AllowedRawValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.trace.Timeline;
import org.skylarkfork.runtime.trace.TimelineFilter;
import org.skylarkfork.runtime.trace.TimelinePage;
import org.skylarkfork.runtime.trace.TimelineReader;
import org.skylarkfork.runtime.trace.TimelineText;

/** Merges the time lines of all processes into one and shows what is asked for. */
@Command(
    name = "timeline",
    description = "Merges the time line files of daemons into one by time and filters it.")
public final class TimelineCommand implements Callable<Integer> {

  private static final String JSON = "json";
  private static final String HTML = "html";
  private static final String TEXT = "text";

  @Required
  @Arguments(title = "FILE", description = "Time line files, or folders of them.")
  private List<String> files = new ArrayList<>();

  @Option(name = "--request", title = "ID", description = "Only lines of this request.")
  private @Nullable String request;

  @Option(name = "--session", title = "NAME", description = "Only lines of this session.")
  private @Nullable String session;

  @Option(
      name = "--version",
      title = "MODEL:VERSION",
      description = "Only lines of this model and version.")
  private @Nullable String version;

  @Option(name = "--upstream", title = "ID", description = "Only lines of this upstream.")
  private @Nullable String upstream;

  @Option(name = "--node", title = "NAME", description = "Only lines of this daemon.")
  private @Nullable String node;

  @Option(
      name = "--event",
      title = "NAME",
      description = "Only events of this name or of names that begin with it and a dot.")
  private @Nullable String event;

  @AllowedRawValues(allowedValues = {TEXT, JSON, HTML})
  @Option(name = "--format", title = "FORMAT", description = "text, json (lines) or html (a page).")
  private String format = TEXT;

  @Option(name = "--out", title = "FILE", description = "File to write in place of the output.")
  private @Nullable String out;

  @Override
  public Integer call() throws IOException {
    Codec codec = new Codec();
    TimelineFilter filter = new TimelineFilter(request, session, version, upstream, node, event);
    Timeline timeline;
    try {
      timeline = new TimelineReader(codec, filter).read(files.stream().map(Path::of).toList());
    } catch (NoSuchFileException missing) {
      System.err.println("There is no file " + missing.getFile() + ". Name time line files.");
      return ExitCode.FAILURE;
    }
    if (out == null) {
      write(timeline, codec, System.out);
    } else {
      try (PrintStream file =
          new PrintStream(Files.newOutputStream(Path.of(out)), false, StandardCharsets.UTF_8)) {
        write(timeline, codec, file);
      }
    }
    report(timeline);
    return ExitCode.SUCCESS;
  }

  private void write(Timeline timeline, Codec codec, PrintStream target) {
    switch (format) {
      case HTML -> target.print(TimelinePage.of(timeline));
      case JSON -> timeline.lines().forEach(line -> target.println(codec.toJson(line)));
      default -> timeline.lines().forEach(line -> target.println(TimelineText.of(line)));
    }
    target.flush();
  }

  private static void report(Timeline timeline) {
    if (timeline.badLines() > 0) {
      System.err.println(
          timeline.badLines()
              + " bad lines were left out, the first at "
              + String.join(", ", timeline.firstBadLines())
              + ".");
    }
  }
}
