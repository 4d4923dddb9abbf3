package org.skylarkfork.core.membership;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Team;

/** A configuration set by the test, with a lease that is held unless the test revokes it. */
public final class FixedConfiguration implements ConfigurationView {

  private Configuration current = Configuration.EMPTY;
  private boolean lease = true;

  /** Sets the drained upstreams and VMs and the withdrawn versions. */
  public void set(List<String> upstreams, List<String> vms, List<ModelVersion> withdrawn) {
    Configuration empty = Configuration.EMPTY;
    current =
        new Configuration(
            current.revision() + 1,
            empty.teams(),
            empty.models(),
            empty.services(),
            empty.rules(),
            empty.rollOuts(),
            withdrawn,
            upstreams,
            vms,
            empty.operatorKeys(),
            empty.versionPolicy(),
            List.of());
  }

  /** Grants or revokes the configuration lease. */
  public void lease(boolean held) {
    lease = held;
  }

  @Override
  public Configuration current() {
    return current;
  }

  @Override
  public boolean mayServe(Instant now) {
    return lease;
  }

  @Override
  public Optional<Team> teamByKeyHash(String sha256) {
    return Optional.empty();
  }
}
