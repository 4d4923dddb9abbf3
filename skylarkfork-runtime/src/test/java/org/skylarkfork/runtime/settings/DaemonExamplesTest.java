package org.skylarkfork.runtime.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.stream.Stream;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;
import org.skylarkfork.core.command.ConfigurationResult;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationMachine;
import org.skylarkfork.runtime.codec.Codec;
import org.testng.annotations.Test;

/** Reads the examples under config/examples that a daemon or an operator would load. */
public final class DaemonExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "config", "examples");

  /** Only data folders may be missing, since operators make them. */
  @Test
  public void settingsAreInOrder() throws IOException {
    int read = 0;
    for (String folder : List.of("bond", "roles")) {
      for (Path file : files(EXAMPLES.resolve(folder))) {
        DaemonSettings settings = DaemonSettings.reader().read(file);
        List<SettingsProblem> others =
            DaemonSettingsCheck.problems(settings).stream()
                .filter(problem -> !problem.pointer().equals("/dataFolder"))
                .toList();
        assertEquals(others, List.of(), file.toString());
        assertEquals(settings.dataFolder() != null, settings.isVoter(), file.toString());
        read++;
      }
    }
    assertEquals(read, 10);
  }

  @Test
  public void configurationIsAccepted() throws IOException {
    String yaml = Files.readString(EXAMPLES.resolve("configuration.yaml"));
    String json = new ObjectMapper(new YAMLFactory()).readTree(yaml).toString();
    ConfigurationChange change = new Codec().fromJson(json, ConfigurationChange.class);
    CommandResult result =
        new ConfigurationMachine()
            .apply(1, Instant.EPOCH, new SubmitChange("c", "example", null, null, change, ""));
    assertTrue(result instanceof ConfigurationResult.Accepted, result.toString());
  }

  private static List<Path> files(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.sorted().toList();
    }
  }
}
