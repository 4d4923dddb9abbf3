package org.skylarkfork.standin.measure.daemon;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.event.Event;

/** A configuration in force at once; withdrawals that parts propose are carried out. */
final class FakeConfiguration implements ConfigurationView, Part {

  private Configuration current;

  FakeConfiguration(Configuration begin) {
    current = begin;
  }

  @Override
  public Configuration current() {
    return current;
  }

  @Override
  public boolean mayServe(Instant now) {
    return true;
  }

  @Override
  public Optional<Team> teamByKeyHash(String sha256) {
    return current.team(sha256);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof ConfigurationEvent.ChangeProposed proposed
        && proposed.change() instanceof ConfigurationChange.WithdrawVersion withdraw) {
      output.raise(withdraw(withdraw.version()));
    }
  }

  /** Withdraws a version and returns the event that tells the parts. */
  Event withdraw(ModelVersion version) {
    List<ModelVersion> withdrawn = new ArrayList<>(current.withdrawn());
    if (!withdrawn.contains(version)) {
      withdrawn.add(version);
      withdrawn.sort(null);
    }
    return put(current.rollOuts(), withdrawn);
  }

  /** Replaces the roll-outs and returns the event that tells the parts. */
  Event rollOuts(List<RollOut> rollOuts) {
    return put(rollOuts, current.withdrawn());
  }

  private Event put(List<RollOut> rollOuts, List<ModelVersion> withdrawn) {
    Configuration before = current;
    current =
        new Configuration(
            before.revision() + 1,
            before.teams(),
            before.models(),
            before.services(),
            before.rules(),
            rollOuts,
            withdrawn,
            before.drainedUpstreams(),
            before.drainedVms(),
            before.operatorKeys(),
            before.versionPolicy(),
            before.quarantined());
    return new ConfigurationEvent.ConfigurationApplied(before.revision(), current.revision());
  }
}
