package org.skylarkfork.runtime.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.skylarkfork.core.command.CommandResult;
import org.skylarkfork.core.command.ConfigurationCommand.SubmitChange;
import org.skylarkfork.core.command.ConfigurationResult;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationMachine;
import org.skylarkfork.core.configuration.RevisionEntry;
import org.skylarkfork.core.message.ConfigurationMessage;
import org.testng.annotations.Test;

/** Tests that the examples of docs/CONFIGURATION.md are accepted in their order. */
public class ConfigurationExamplesTest {

  private static final Pattern EXAMPLE = Pattern.compile("```json\n(.*?)```", Pattern.DOTALL);
  private static final Instant NOW = Instant.parse("2026-06-06T08:00:00Z");

  private final Codec codec = new Codec();

  private List<ConfigurationChange> examples() throws IOException {
    String page = Files.readString(Path.of("..", "docs", "CONFIGURATION.md"));
    List<ConfigurationChange> changes = new ArrayList<>();
    Matcher matcher = EXAMPLE.matcher(page);
    while (matcher.find()) {
      changes.add(codec.fromJson(matcher.group(1), ConfigurationChange.class));
    }
    return changes;
  }

  /** Each kind of change has an example, and each example is accepted after the preceding ones. */
  @Test
  public void eachExampleIsAccepted() throws IOException {
    ConfigurationMachine machine = new ConfigurationMachine();
    Set<String> kinds = new TreeSet<>();
    List<ConfigurationChange> changes = examples();
    for (ConfigurationChange change : changes) {
      kinds.add(change.getClass().getSimpleName());
      SubmitChange submitted =
          new SubmitChange("c" + kinds.size() + change, "anna", null, null, change, "");
      CommandResult result = machine.apply(1, NOW, submitted);
      assertTrue(result instanceof ConfigurationResult.Accepted, change + " gave " + result);
    }
    Set<String> all = new TreeSet<>();
    for (Class<?> kind : ConfigurationChange.class.getPermittedSubclasses()) {
      all.add(kind.getSimpleName());
    }
    assertEquals(kinds, all);
    assertEquals(machine.configuration().revision(), changes.size());
  }

  /** Prints the sizes of the messages that renew the lease and of those that carry a change. */
  @Test
  public void printsMessageSizes() throws IOException {
    ConfigurationMessage renew =
        new ConfigurationMessage.Renew(16_000, NOW, 16_000, List.of(), 0, false);
    ConfigurationMessage grant =
        new ConfigurationMessage.LeaseGrant(NOW, Duration.ofMillis(4990), 16_000);
    ConfigurationMachine machine = new ConfigurationMachine();
    examples()
        .forEach(
            change ->
                machine.apply(
                    1, NOW, new SubmitChange("c" + change, "anna", null, null, change, "")));
    int pushedBytes = 0;
    for (RevisionEntry entry : machine.history().subList(1, machine.history().size())) {
      pushedBytes += codec.toBytes(new ConfigurationMessage.Push(List.of(entry.step()))).length;
    }
    System.out.printf(
        "configuration: renew %d bytes, grant %d bytes, push of an example %d bytes in the mean%n",
        codec.toBytes(renew).length,
        codec.toBytes(grant).length,
        pushedBytes / (machine.history().size() - 1));
  }
}
