package org.skylarkfork.core.admission;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.message.LimitMessage.Demand;
import org.skylarkfork.core.message.LimitMessage.Grant;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/** Leases the limits of the teams whose limits this entry owns. */
final class ShareOwner {

  private final EntryView view;
  private final Function<String, Optional<Limits>> limits;
  private final ShareSettings settings;
  private final ShareSplit split;
  private final Map<String, OwnedTeam> teams = new HashMap<>();
  private boolean hasMajority;

  ShareOwner(EntryView view, Function<String, Optional<Limits>> limits, ShareSettings settings) {
    this.view = view;
    this.limits = limits;
    this.settings = settings;
    this.split = new ShareSplit(settings.unleasedFraction());
  }

  /**
   * Drops teams that another entry owns now; drops all teams without a majority and when it
   * returns.
   *
   * <p>An owner on the minority side of a partition still owns the team there, while the majority
   * side has another owner. If the owner on the minority side resumed its leases as soon as the
   * partition heals, both would lease the whole limit for a while.
   */
  void viewChanged() {
    boolean hadMajority = hasMajority;
    hasMajority = view.hasMajority();
    if (!hadMajority || !hasMajority) {
      teams.clear();
    }
    teams.keySet().removeIf(team -> !view.ownerOf(team).equals(view.self()));
  }

  /** Removes teams for which no entry has a demand or a lease. */
  void removeIdleTeams(Instant now) {
    teams.values().removeIf(team -> team.removeIdleHolders(now));
  }

  /** Returns the number of owned teams with a demand or a lease. */
  int teamCount() {
    return teams.size();
  }

  /** Returns the grant for a demand; teams that get no share are left out. */
  Grant handleDemand(String entry, Demand demand, Instant now) {
    List<TeamShare> shares = new ArrayList<>();
    for (TeamDemand team : demand.teams()) {
      Optional<Limits> teamLimits = limits.apply(team.team());
      boolean isOwner = view.ownerOf(team.team()).equals(view.self()) && view.isLive(entry);
      if (isOwner && teamLimits.isPresent()) {
        grantShare(entry, team, teamLimits.get(), demand.sentAt(), now).ifPresent(shares::add);
      }
    }
    return new Grant(demand.sentAt(), settings.lease(), shares);
  }

  private Optional<TeamShare> grantShare(
      String entry, TeamDemand demand, Limits teamLimits, Instant sentAt, Instant now) {
    OwnedTeam team =
        teams.computeIfAbsent(
            demand.team(), name -> new OwnedTeam(name, view.changedAt(), settings.ownerLease()));
    boolean isNew = team.recordDemand(entry, demand, sentAt, now);
    // The previous owner may have leased the whole limit just before. A grant would add to its
    // leases until they have certainly ended, or without a majority of the entries.
    boolean inTakeoverDelay = now.isBefore(team.ownedSince().plus(settings.takeoverDelay()));
    if (!isNew || inTakeoverDelay || !view.hasMajority()) {
      return Optional.empty();
    }
    int unleased =
        split.unleased(demand.team(), teamLimits, view.knownCount()).concurrentRequests();
    return Optional.of(team.grant(entry, split.pool(demand.team(), teamLimits), unleased, now));
  }
}
