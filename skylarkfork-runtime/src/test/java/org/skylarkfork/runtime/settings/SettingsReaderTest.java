package org.skylarkfork.runtime.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests {@link SettingsReader} with the daemon's settings. */
public final class SettingsReaderTest {

  private static final String GOOD =
      """
      node: entry-1
      cluster: bond
      region: nl-mid
      zone: utrecht-a
      host: 127.0.0.1
      callerPort: 0
      adminPort: 0
      peerPort: 0
      sessionSecret: 0123456789abcdef
      entryListLifetime: 2s
      """;

  private final SettingsReader<DaemonSettings> reader = DaemonSettings.reader();

  @Test
  public void readsDurationsAndDefaults() {
    DaemonSettings settings = reader.read(GOOD);
    assertEquals(settings.entryListLifetime(), Duration.ofSeconds(2));
    assertTrue(settings.voters().isEmpty());
  }

  @Test
  public void namesTheLineOfAnUnknownKey() {
    assertProblem(GOOD + "nodde: x\n", "Line 11: ", "Remove the key or correct its spelling.");
  }

  @Test
  public void namesTheLineOfWrongValues() {
    assertProblem(
        GOOD.replace("callerPort: 0", "callerPort: many"), "Line 6: callerPort", "that type");
    assertProblem(GOOD.replace("adminPort: 0", "adminPort: 99999"), "Line 7: ", "within the bound");
    assertProblem(GOOD.replace("2s", "2 parsecs"), "Line 10: ", "form");
  }

  @Test
  public void namesMissingKeysAndBrokenYaml() {
    assertProblem(GOOD.replace("zone: utrecht-a\n", ""), "zone", "Add the key.");
    assertProblem(GOOD + "  - broken: [\n", "Line ", "not YAML");
    assertProblem("", "empty", "config/examples");
  }

  private void assertProblem(String text, String... parts) {
    SettingsException refused = expectThrows(SettingsException.class, () -> reader.read(text));
    for (String part : parts) {
      assertTrue(refused.getMessage().contains(part), refused.getMessage());
    }
  }
}
