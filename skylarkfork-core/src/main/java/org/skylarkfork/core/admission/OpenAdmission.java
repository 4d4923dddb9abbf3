package org.skylarkfork.core.admission;

import java.time.Instant;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.request.CallerRequest;

/** Admits every request at once: the baseline without limits or queues. */
public final class OpenAdmission implements Admission {

  private static final Result ADMITTED = new Result(Decision.ADMITTED, null);

  @Override
  public Result submit(CallerRequest request, Team team, int priority, Instant now) {
    return ADMITTED;
  }

  @Override
  public void release(String requestId, long tokens, Instant now) {
    // Nothing was held.
  }
}
