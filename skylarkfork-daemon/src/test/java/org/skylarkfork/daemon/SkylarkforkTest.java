package org.skylarkfork.daemon;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link Skylarkfork}, the command line as a whole. */
public final class SkylarkforkTest {

  @Test
  public void answersEachSampleOfQuickstart() {
    assertEquals(Skylarkfork.run("quickstart", "--once"), ExitCode.SUCCESS);
  }

  @Test
  public void tellsUsageFromFailure() {
    assertEquals(Skylarkfork.run("help"), ExitCode.SUCCESS);
    assertEquals(Skylarkfork.run("check", "--help"), ExitCode.SUCCESS);
    assertEquals(Skylarkfork.run("check"), ExitCode.USAGE);
    assertEquals(Skylarkfork.run("no-such-command"), ExitCode.USAGE);
    assertEquals(Skylarkfork.run("check", "--settings", "no-such-file"), ExitCode.FAILURE);
  }
}
