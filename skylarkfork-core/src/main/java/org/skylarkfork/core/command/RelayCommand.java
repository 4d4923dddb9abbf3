package org.skylarkfork.core.command;

import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.rollout.RollOutPhase;
import org.skylarkfork.core.rollout.VersionTotals;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Commands on the state replicated by the relay's control VMs. */
public sealed interface RelayCommand extends Command {

  /**
   * Puts a configuration in force if its version is higher than the current one.
   *
   * @param configuration a valid configuration
   * @param document the operator's original text of the configuration, returned to readers
   *     unchanged
   */
  record PutConfiguration(RelayConfiguration configuration, byte[] document)
      implements RelayCommand {}

  /**
   * Reads the operator's text of the newest configuration, as of the command's index in the log.
   */
  record ReadConfiguration() implements RelayCommand {}

  /**
   * Starts the roll-out of another version of a service; a resend changes nothing.
   *
   * @param service the service
   * @param target version to roll out
   * @param deadlineMillis time by which the roll-out should be decided, in milliseconds
   */
  record BeginRollOut(String service, String target, long deadlineMillis) implements RelayCommand {}

  /**
   * Records the next step of a roll-out; ignored if that roll-out has ended or another one to the
   * same version has started since.
   *
   * @param service the service
   * @param target version to which the roll-out leads
   * @param phase the phase that begins
   * @param startIndex log index of the command that started the roll-out; 0 if an older leader
   *     submitted this command
   * @param baseline results of the version that is replaced, as of this command; null if an older
   *     leader submitted it
   * @param sessionShare share of sessions that take part in the canary phase from now on, in
   *     ten-thousandths; 0 in other phases and from older leaders
   */
  record AdvanceRollOut(
      String service,
      String target,
      RollOutPhase phase,
      long startIndex,
      @Nullable VersionTotals baseline,
      int sessionShare)
      implements RelayCommand {

    /** Creates the command as older leaders submitted it. */
    public AdvanceRollOut(String service, String target, RollOutPhase phase) {
      this(service, target, phase, 0, null, 0);
    }

    /** Creates a command that leaves the share of sessions in the canary phase as it is. */
    public AdvanceRollOut(
        String service,
        String target,
        RollOutPhase phase,
        long startIndex,
        @Nullable VersionTotals baseline) {
      this(service, target, phase, startIndex, baseline, 0);
    }
  }

  /**
   * Reads the roll-out of a service, as of the command's index in the log.
   *
   * @param service the service
   */
  record ReadRollOut(String service) implements RelayCommand {}

  /**
   * Records that an upstream leaves and receives no new work.
   *
   * @param run the run of the upstream that leaves; its earlier runs have ended
   */
  record UpstreamLeaves(UpstreamRun run) implements RelayCommand {}

  /**
   * Evacuates an availability zone: its upstreams receive no requests until the zone is restored. A
   * resend changes nothing.
   *
   * @param zone the availability zone
   */
  record EvacuateZone(String zone) implements RelayCommand {}

  /**
   * Restores an evacuated availability zone; its upstreams count as cold for a while.
   *
   * @param zone the availability zone
   */
  record TakeZoneBack(String zone) implements RelayCommand {}

  /** Reads which availability zones are evacuated, as of the command's index in the log. */
  record ReadEvacuations() implements RelayCommand {}

  /**
   * Quarantines a request that crashes the upstreams that run it; all entries refuse it. A resend
   * changes nothing.
   *
   * @param key the request
   */
  record QuarantineRequest(RequestKey key) implements RelayCommand {}

  /**
   * Lifts the quarantine of a request.
   *
   * @param key the request
   */
  record LiftQuarantine(RequestKey key) implements RelayCommand {}

  /** Reads which requests are quarantined, as of the command's index in the log. */
  record ReadQuarantine() implements RelayCommand {}
}
