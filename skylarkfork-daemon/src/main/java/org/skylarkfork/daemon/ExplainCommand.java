package org.skylarkfork.daemon;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;

/** Shows what several processes' logs tell of one request, and its cause. */
@Command(
    name = "explain",
    description = "Collects a request's lines from logs, orders them and says why it ended so.")
public final class ExplainCommand implements Callable<Integer> {

  @Required
  @Arguments(title = "ID FILE...", description = "The request's id, then the log files.")
  private List<String> words = new ArrayList<>();

  @Override
  public Integer call() throws IOException {
    if (words.size() < 2) {
      System.err.println("Name the request's id and at least one log file.");
      return ExitCode.USAGE;
    }
    RequestStory story = new RequestStory(words.get(0));
    for (String file : words.subList(1, words.size())) {
      try (Stream<String> lines = Files.lines(Path.of(file), StandardCharsets.ISO_8859_1)) {
        lines.forEach(story::add);
      } catch (NoSuchFileException missing) {
        System.err.println("There is no file " + missing.getFile() + ". Name log files.");
        return ExitCode.FAILURE;
      }
    }
    story.lines().forEach(System.out::println);
    System.out.println(story.cause());
    return story.lines().isEmpty() ? ExitCode.FAILURE : ExitCode.SUCCESS;
  }
}
