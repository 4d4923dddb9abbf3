package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.util.List;
import org.testng.annotations.Test;

/** Tests of {@link QuarantineCommand} against a control VM that notes what it is asked. */
public final class QuarantineCommandTest {

  @Test
  public void ordersNameTheRequestAsLogsDo() throws IOException {
    try (FakeControl control = new FakeControl()) {
      assertEquals(control.run("quarantine"), ExitCode.SUCCESS);
      assertEquals(control.run("quarantine", "a team/00ab"), ExitCode.SUCCESS);
      assertEquals(control.run("quarantine", "--lift", "/00ab"), ExitCode.SUCCESS);
      assertEquals(
          control.asked(),
          List.of(
              "GET /relay/v1/quarantine",
              "PUT /relay/v1/quarantine/00ab?team=a+team",
              "DELETE /relay/v1/quarantine/00ab?team="));
    }
  }

  @Test
  public void unreadableOrRefusedOrdersFail() throws IOException {
    try (FakeControl control = new FakeControl()) {
      assertEquals(control.run("quarantine", "--lift"), ExitCode.USAGE);
      assertEquals(control.run("quarantine", "00ab"), ExitCode.USAGE);
      control.answers(400);
      assertEquals(control.run("quarantine", "team/nothing"), ExitCode.FAILURE);
    }
  }
}
