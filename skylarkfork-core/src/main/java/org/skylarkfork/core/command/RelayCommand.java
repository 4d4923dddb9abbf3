package org.skylarkfork.core.command;

import org.skylarkfork.core.crash.RequestKey;
import org.skylarkfork.core.relay.RelayConfiguration;
import org.skylarkfork.core.relay.RollOutPhase;
import org.skylarkfork.core.upstream.UpstreamRun;

/** Changes to what the relay's control VMs agree on. */
public sealed interface RelayCommand extends Command {

  /**
   * Puts a configuration in force if its version is higher than the present one.
   *
   * @param configuration a valid configuration
   * @param document the operator's own text of it, given back to readers as it is
   */
  record PutConfiguration(RelayConfiguration configuration, byte[] document)
      implements RelayCommand {}

  /** Reads the operator's text of the newest configuration, as of its place in the log. */
  record ReadConfiguration() implements RelayCommand {}

  /**
   * Starts to move a service to another version; a resend changes nothing.
   *
   * @param service the service
   * @param target version to move to
   * @param deadlineMillis time by which it should be decided, in milliseconds
   */
  record BeginRollOut(String service, String target, long deadlineMillis) implements RelayCommand {}

  /**
   * Records the next phase of a roll-out; ignored if that roll-out is over.
   *
   * @param service the service
   * @param target version of the roll-out that is meant
   * @param phase the phase it enters
   */
  record AdvanceRollOut(String service, String target, RollOutPhase phase)
      implements RelayCommand {}

  /**
   * Reads the roll-out of a service, as of its place in the log.
   *
   * @param service the service
   */
  record ReadRollOut(String service) implements RelayCommand {}

  /**
   * Records that an upstream leaves and gets no new work.
   *
   * @param run the start that leaves; earlier ones are long gone
   */
  record UpstreamLeaves(UpstreamRun run) implements RelayCommand {}

  /**
   * Evacuates an availability zone: its upstreams get nothing until it is taken back. A resend
   * changes nothing.
   *
   * @param zone the availability zone
   */
  record EvacuateZone(String zone) implements RelayCommand {}

  /**
   * Takes an evacuated availability zone back; its upstreams count as cold for a while.
   *
   * @param zone the availability zone
   */
  record TakeZoneBack(String zone) implements RelayCommand {}

  /** Reads which availability zones are evacuated, as of its place in the log. */
  record ReadEvacuations() implements RelayCommand {}

  /**
   * Has a request refused by all entries, since it ends the upstreams that run it. A resend changes
   * nothing.
   *
   * @param key the request
   */
  record QuarantineRequest(RequestKey key) implements RelayCommand {}

  /**
   * Lets a request through again that was refused.
   *
   * @param key the request
   */
  record LiftQuarantine(RequestKey key) implements RelayCommand {}

  /** Reads which requests are refused, as of its place in the log. */
  record ReadQuarantine() implements RelayCommand {}
}
