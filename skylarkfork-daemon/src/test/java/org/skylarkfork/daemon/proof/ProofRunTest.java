package org.skylarkfork.daemon.proof;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.skylarkfork.daemon.DeletedFolders;
import org.testng.annotations.Test;

/** Real daemons under load and faults, judged by the checker of the long runs. */
public class ProofRunTest {

  private static final long SEED = 7;

  /**
   * The leader crashes in the middle of the load and comes back; operators race, withdraw a version
   * and drain an upstream; an entry is stopped as planned. Callers see their own whole answers or
   * explicit errors, for accepted changes outlive the leader and no request hangs on one daemon.
   */
  @Test
  public void keepsPromisesUnderFaults() throws IOException, InterruptedException {
    Path folder = Files.createTempDirectory("skylarkfork-proof-test");
    try {
      ProofSettings settings =
          new ProofSettings(
              folder,
              SEED,
              Duration.ofSeconds(8),
              1,
              10,
              List.of(
                  FaultName.CRASH_LEADER,
                  FaultName.RACE,
                  FaultName.WITHDRAW,
                  FaultName.DRAIN,
                  FaultName.STOP_ENTRY),
              1);
      List<PromiseResult> broken =
          new ProofChecker(new ProofRun(settings).run())
              .check().stream().filter(result -> !result.kept()).toList();
      assertEquals(broken, List.of());
    } finally {
      DeletedFolders.delete(folder);
    }
  }
}
