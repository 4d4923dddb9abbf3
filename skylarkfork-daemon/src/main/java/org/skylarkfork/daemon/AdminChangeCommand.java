package org.skylarkfork.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Submits a change of any kind from a file. */
@Command(
    name = "change",
    description = "Submits a change from a file in YAML or JSON; docs/CONFIGURATION.md lists them.")
public final class AdminChangeCommand extends AdminOptions {

  private static final String STANDARD_INPUT = "-";

  @Required
  @Arguments(title = "FILE", description = "File with the change, or - for standard input.")
  private String file;

  @Override
  public Integer call() throws IOException, InterruptedException {
    String text =
        file.equals(STANDARD_INPUT)
            ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
            : Files.readString(Path.of(file));
    return submit(new ObjectMapper(new YAMLFactory()).readTree(text).toString());
  }
}
