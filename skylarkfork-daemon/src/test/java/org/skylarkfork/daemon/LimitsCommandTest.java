package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link LimitsCommand} against a control VM that notes what it is asked. */
public final class LimitsCommandTest {

  @Test
  public void limitsAreAskedOfTheControlNode() throws IOException {
    try (FakeControl control = new FakeControl()) {
      assertEquals(control.run("limits"), ExitCode.SUCCESS);
      assertEquals(control.asked(), List.of("GET /relay/v1/limits"));
      control.answers(503);
      assertEquals(control.run("limits"), ExitCode.FAILURE);
    }
  }
}
