package org.skylarkfork.core.quality;

import java.time.Instant;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.configuration.ModelVersion;

/** Submits the withdrawal of a version that was found bad, if the operators' policy demands it. */
public interface VersionWithdrawer {

  /** Submits nothing; for daemons whose policy never withdraws. */
  VersionWithdrawer NONE = (version, changeId, reason, now, output) -> {};

  /**
   * Submits a withdrawal.
   *
   * @param version the version
   * @param changeId id of the change, equal on all entries, so that it takes effect once
   * @param reason the evidence, as a text for operators
   * @param now the present time
   * @param output receives the effects
   */
  void withdraw(ModelVersion version, String changeId, String reason, Instant now, Output output);
}
