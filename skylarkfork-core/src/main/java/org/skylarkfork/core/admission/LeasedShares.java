package org.skylarkfork.core.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.membership.Members;
import org.skylarkfork.core.message.LimitMessage;
import org.skylarkfork.core.message.LimitMessage.Demand;
import org.skylarkfork.core.message.LimitMessage.Grant;
import org.skylarkfork.core.message.LimitMessage.TeamDemand;
import org.skylarkfork.core.message.LimitMessage.TeamShare;

/**
 * Gives each entry a share of a team's limits by its demand, leased from the entry that owns them.
 *
 * <p>A small part of each limit is split evenly and needs no lease; the owner leases the rest. An
 * entry whose lease ended, since it or the owner is cut off or dead, falls back to its even part.
 * An entry that knows of no other has the whole. No request waits for a message: a share is what is
 * known here when it is asked for.
 */
public final class LeasedShares implements LimitShares, Part {

  /** Bounds the bytes of a message; more teams go into further ones. */
  private static final int MAX_TEAMS = 256;

  private final EntryView view;
  private final Function<String, TeamLoad> loads;
  private final ShareSettings settings;
  private final ShareSplit split;
  private final ShareOwner owner;
  private final Map<String, LeasedTeam> teams = new HashMap<>();
  private Instant reportedAt = Instant.MIN;

  /**
   * Makes shares.
   *
   * @param members the daemons that are there
   * @param loads what each team asks of this entry
   * @param limits the whole limits of each team; empty for an unknown one
   * @param settings times and parts
   */
  public LeasedShares(
      Members members,
      Function<String, TeamLoad> loads,
      Function<String, Optional<Limits>> limits,
      ShareSettings settings) {
    this.view = new EntryView(members, settings.entryRetention());
    this.loads = loads;
    this.settings = settings;
    this.split = new ShareSplit(settings.unleasedFraction());
    this.owner = new ShareOwner(view, limits, settings);
  }

  @Override
  public Limits share(Team team, Instant now) {
    Limits limits = team.limits();
    if (limits.equals(Limits.NONE)) {
      return limits;
    }
    refresh(now);
    LeasedTeam leased = teams.computeIfAbsent(team.name(), name -> new LeasedTeam(name, now));
    if (view.knownCount() == 1) {
      return limits;
    }
    TeamShare unleased = split.unleased(team.name(), limits, view.knownCount());
    return ShareSplit.combine(unleased, leased.leased(now), limits);
  }

  private void refresh(Instant now) {
    if (view.refresh(now)) {
      owner.viewChanged();
    }
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick) {
      refresh(now);
      report(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof LimitMessage message
        && !view.isSuperseded()) {
      refresh(now);
      receive(received.node(), message, now, output);
    }
  }

  private void receive(String from, LimitMessage message, Instant now, Output output) {
    if (message instanceof Demand demand) {
      Grant grant = owner.handleDemand(from, demand, now);
      if (!grant.teams().isEmpty()) {
        output.effect(new PeerEffect.SendToPeer(from, grant));
      }
    } else if (message instanceof Grant grant) {
      applyGrant(grant);
    }
  }

  private void applyGrant(Grant grant) {
    // The owner counts the lease from a later moment, and longer, lest its clock be the faster one.
    Instant end = grant.demandSentAt().plus(settings.holderLease(grant.lease()));
    for (TeamShare share : grant.teams()) {
      LeasedTeam team = teams.get(share.team());
      if (team != null) {
        team.applyGrant(share, grant.demandSentAt(), end);
      }
    }
  }

  private void report(Instant now, Output output) {
    boolean due = !now.isBefore(reportedAt.plus(settings.reportInterval()));
    boolean urgent =
        !now.isBefore(reportedAt.plus(settings.urgentReportInterval())) && lacksLease(now);
    if (view.isSuperseded() || view.knownCount() == 1 || !(due || urgent)) {
      return;
    }
    reportedAt = now;
    owner.removeIdleTeams(now);
    demands(now).forEach((name, demands) -> send(name, demands, now, output));
  }

  private boolean lacksLease(Instant now) {
    return teams.entrySet().stream()
        .anyMatch(team -> !team.getValue().hasLease(now) && loads.apply(team.getKey()).active());
  }

  /** Returns the demand of teams that asked lately, by owner; forgets the other teams. */
  private Map<String, List<TeamDemand>> demands(Instant now) {
    Map<String, List<TeamDemand>> demands = new TreeMap<>();
    List<String> idle = new ArrayList<>();
    Duration activityTimeout = settings.lease();
    teams.forEach(
        (name, team) -> {
          TeamLoad load = loads.apply(name);
          if (team.isActive(load, activityTimeout, now)) {
            List<TeamDemand> ownerDemands =
                demands.computeIfAbsent(view.ownerOf(name), key -> new ArrayList<>());
            ownerDemands.add(team.demand(load, now));
          } else if (!team.hasLease(now)) {
            idle.add(name);
          }
        });
    idle.forEach(teams::remove);
    return demands;
  }

  private void send(String to, List<TeamDemand> demands, Instant now, Output output) {
    for (int from = 0; from < demands.size(); from += MAX_TEAMS) {
      int end = Math.min(demands.size(), from + MAX_TEAMS);
      Demand demand = new Demand(now, demands.subList(from, end));
      if (to.equals(view.self())) {
        applyGrant(owner.handleDemand(to, demand, now));
      } else {
        output.effect(new PeerEffect.SendToPeer(to, demand));
      }
    }
  }

  /** Returns how many teams this entry has a lease for. */
  public int leases(Instant now) {
    return (int) teams.values().stream().filter(team -> team.hasLease(now)).count();
  }

  /** Returns how many teams have demand whose limits this entry leases to others and itself. */
  public int ownedTeams() {
    return owner.teamCount();
  }
}
