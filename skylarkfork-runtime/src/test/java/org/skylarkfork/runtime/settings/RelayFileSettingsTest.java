package org.skylarkfork.runtime.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.expectThrows;

import java.time.Duration;
import org.skylarkfork.runtime.relay.RelaySettings;
import org.testng.annotations.Test;

/** Tests of {@link RelayFileSettings}. */
public final class RelayFileSettingsTest {

  private static final String ENTRY =
      "node: e-1\nzone: a\nhost: 127.0.0.2\npeerPort: 8182\ncallerPort: 8180\n"
          + "seeds: [\"127.0.0.3:8182\", \"127.0.0.2:8182\"]\nkeyBound: 4s\n";

  @Test
  public void whatIsLeftOutIsFilledIn() {
    RelaySettings settings = RelayFileSettings.reader().read(ENTRY).toRelay();
    assertEquals(settings.peerName(), "127.0.0.2:8182");
    assertEquals(settings.seeds().get(0), "127.0.0.2:8182");
    assertEquals(settings.keyBound(), Duration.ofSeconds(4));
    assertEquals(settings.voters(), 3);
    assertNull(settings.control());
  }

  @Test
  public void mistakesAreNamedWithTheirRemedy() {
    assertEquals(problem(ENTRY.replace("callerPort: 8180\n", "")).contains("callerPort"), true);
    assertEquals(problem(ENTRY + "controlPort: 8181\n").contains("go together"), true);
    assertEquals(problem(ENTRY + "colour: red\n").contains("colour"), true);
    assertEquals(
        problem(ENTRY + "controlPort: 8181\ndataFolder: /no/such/folder\n").contains("no folder"),
        true);
  }

  private static String problem(String text) {
    SettingsException wrong =
        expectThrows(SettingsException.class, () -> RelayFileSettings.reader().read(text));
    return String.join("\n", wrong.problems());
  }
}
