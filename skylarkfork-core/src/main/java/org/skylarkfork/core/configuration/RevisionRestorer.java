package org.skylarkfork.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import org.skylarkfork.core.configuration.ConfigurationProblem.Kind;

/**
 * Makes a draft with the content of an old revision.
 *
 * <p>What protects against harm stays as it is now: withdrawals, drained upstreams and VMs,
 * operator keys, quarantined requests and the keys of teams that still exist. Otherwise a return to
 * older rules would give a bad version new work and a revoked key its rights back. Roll-outs that
 * were running come back paused.
 */
final class RevisionRestorer {

  private final ConfigurationHistory history;

  RevisionRestorer(ConfigurationHistory history) {
    this.history = history;
  }

  ConfigurationDraft restore(Configuration current, long revision)
      throws InapplicableChangeException {
    Optional<Configuration> old = history.at(current, revision);
    if (old.isEmpty()) {
      throw new InapplicableChangeException(
          Kind.NOT_FOUND,
          "revision " + revision,
          "the history holds revisions "
              + history.oldest(current)
              + " to "
              + current.revision()
              + "; choose one of these");
    }
    ConfigurationDraft draft = new ConfigurationDraft(old.get());
    draft.drainedUpstreams = current.drainedUpstreams();
    draft.drainedVms = current.drainedVms();
    draft.operatorKeys = current.operatorKeys();
    draft.quarantined = current.quarantined();
    keepTeamKeys(draft, current);
    TreeSet<ModelVersion> withdrawn = new TreeSet<>(old.get().withdrawn());
    withdrawn.addAll(current.withdrawn());
    draft.withdrawn = List.copyOf(withdrawn);
    pauseRollOuts(draft);
    RollOutChanges.removeMissingVersions(draft);
    return draft;
  }

  private static void keepTeamKeys(ConfigurationDraft draft, Configuration current) {
    List<Team> teams = new ArrayList<>();
    for (Team team : draft.teams) {
      int index = ConfigurationDraft.find(current.teams(), team.name(), Team::name);
      teams.add(index < 0 ? team : ChangeApplier.withKeys(team, current.teams().get(index).keys()));
    }
    draft.teams = List.copyOf(teams);
  }

  private static void pauseRollOuts(ConfigurationDraft draft) {
    List<RollOut> rollOuts = new ArrayList<>();
    for (RollOut rollOut : draft.rollOuts) {
      RollOut.State state = rollOut.state();
      if (RollOutChanges.isOpen(rollOut)) {
        boolean withdrawn =
            draft.withdrawn.contains(new ModelVersion(rollOut.model(), rollOut.to()));
        state = withdrawn ? RollOut.State.ABORTED : RollOut.State.PAUSED;
      }
      rollOuts.add(
          new RollOut(
              rollOut.model(),
              rollOut.from(),
              rollOut.to(),
              rollOut.steps(),
              rollOut.step(),
              state));
    }
    draft.rollOuts = List.copyOf(rollOuts);
  }
}
