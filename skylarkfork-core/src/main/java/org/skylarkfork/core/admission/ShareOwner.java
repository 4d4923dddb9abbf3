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

/** Leases the limits of the teams that this entry owns. */
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
   * Gives up teams that another entry owns now, and all teams around a time in the minority.
   *
   * <p>An owner on the smaller side of a partition still owns the team there, while the larger side
   * has another one. If it took up its office as soon as it sees all again, both would lease the
   * whole for a while.
   */
  void viewChanged() {
    boolean hadMajority = hasMajority;
    hasMajority = view.hasMajority();
    if (!hadMajority || !hasMajority) {
      teams.clear();
    }
    teams.keySet().removeIf(team -> !view.ownerOf(team).equals(view.self()));
  }

  /** Forgets teams that no entry asks for or has a lease of. */
  void removeIdleTeams(Instant now) {
    teams.values().removeIf(team -> team.removeIdleHolders(now));
  }

  /** Returns how many teams have demand here. */
  int teamCount() {
    return teams.size();
  }

  /** Answers a demand; the grant lacks teams that get no share. */
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
    // The entry that owned the team before may have granted all of it just now. Until its leases
    // have ended for sure, and where most entries can't be seen, a grant would be on top of them.
    boolean inTakeoverDelay = now.isBefore(team.ownedSince().plus(settings.takeoverDelay()));
    if (!isNew || inTakeoverDelay || !view.hasMajority()) {
      return Optional.empty();
    }
    int unleased =
        split.unleased(demand.team(), teamLimits, view.knownCount()).concurrentRequests();
    return Optional.of(team.grant(entry, split.pool(demand.team(), teamLimits), unleased, now));
  }
}
