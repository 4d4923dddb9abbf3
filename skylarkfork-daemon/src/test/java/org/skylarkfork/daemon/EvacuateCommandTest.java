package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link EvacuateCommand} against a control VM that notes what it is asked. */
public final class EvacuateCommandTest {

  @Test
  public void ordersGoToTheControlVm() throws IOException {
    try (FakeControl control = new FakeControl()) {
      assertEquals(control.run("evacuate", "utrecht-a"), ExitCode.SUCCESS);
      assertEquals(control.run("evacuate"), ExitCode.SUCCESS);
      assertEquals(control.run("evacuate", "--undo", "utrecht-a"), ExitCode.SUCCESS);
      assertEquals(
          control.asked(),
          List.of(
              "PUT /relay/v1/evacuations/utrecht-a",
              "GET /relay/v1/evacuations",
              "DELETE /relay/v1/evacuations/utrecht-a"));
    }
  }

  @Test
  public void refusedOrUnclearOrdersFail() throws IOException {
    try (FakeControl control = new FakeControl()) {
      assertEquals(control.run("evacuate", "--undo"), ExitCode.USAGE);
      control.answers(404);
      assertEquals(control.run("evacuate", "nowhere"), ExitCode.FAILURE);
    }
    assertEquals(
        Skylarkfork.run("evacuate", "--control", "127.0.0.1:1", "utrecht-a"), ExitCode.FAILURE);
  }
}
