package org.skylarkfork.standin.settings;

import static org.testng.Assert.assertEquals;

import java.nio.file.Path;
import org.skylarkfork.standin.engine.EngineSettings;
import org.skylarkfork.standin.rating.RatingSettings;
import org.skylarkfork.standin.service.ServiceSettings;
import org.skylarkfork.standin.weights.WeightsSettings;
import org.testng.annotations.Test;

/** Reads the examples under config/examples/standins. */
public final class StandInExamplesTest {

  private static final Path EXAMPLES = Path.of("..", "config", "examples", "standins");

  @Test
  public void settingsAreInOrder() {
    EngineSettings engine = EngineSettings.reader().read(EXAMPLES.resolve("engine.yaml"));
    assertEquals(engine.models().size(), 4);
    for (String service : new String[] {"lookup", "certificates"}) {
      Path file = EXAMPLES.resolve("service-" + service + ".yaml");
      assertEquals(ServiceSettings.reader().read(file).announce().entries().size(), 3);
    }
    assertEquals(
        RatingSettings.reader().read(EXAMPLES.resolve("rating.yaml")).qualities().size(), 4);
    assertEquals(WeightsSettings.reader().read(EXAMPLES.resolve("weights.yaml")).port(), 9400);
  }
}
