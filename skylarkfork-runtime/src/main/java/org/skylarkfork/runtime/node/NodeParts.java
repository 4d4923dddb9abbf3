package org.skylarkfork.runtime.node;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.admission.AdmissionSettings;
import org.skylarkfork.core.admission.AnnouncedCapacity;
import org.skylarkfork.core.admission.FairAdmission;
import org.skylarkfork.core.admission.LeasedShares;
import org.skylarkfork.core.admission.ShareSettings;
import org.skylarkfork.core.admission.TeamLoad;
import org.skylarkfork.core.attempt.CrashReviewPart;
import org.skylarkfork.core.attempt.DaemonPartObservers;
import org.skylarkfork.core.attempt.RequestCollaborators;
import org.skylarkfork.core.attempt.RequestPart;
import org.skylarkfork.core.attempt.RequestSettings;
import org.skylarkfork.core.attempt.VoterCrashReviewers;
import org.skylarkfork.core.command.CompositeMachine;
import org.skylarkfork.core.command.ConfigurationCommand;
import org.skylarkfork.core.command.GroupId;
import org.skylarkfork.core.command.OrderCommand;
import org.skylarkfork.core.command.StateMachine;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.configuration.ConfigurationMachine;
import org.skylarkfork.core.configuration.ConfigurationPart;
import org.skylarkfork.core.configuration.ConfigurationSettings;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.Limits;
import org.skylarkfork.core.configuration.LocalReplica;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Team;
import org.skylarkfork.core.configuration.ZoneTree;
import org.skylarkfork.core.consensus.ConsensusEventLogger;
import org.skylarkfork.core.consensus.ConsensusPart;
import org.skylarkfork.core.consensus.ControlVmPart;
import org.skylarkfork.core.consensus.GroupSetup;
import org.skylarkfork.core.consensus.RaftSettings;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.ledger.LedgerBounds;
import org.skylarkfork.core.ledger.LedgerMachine;
import org.skylarkfork.core.ledger.LedgerPart;
import org.skylarkfork.core.ledger.LedgerSettings;
import org.skylarkfork.core.ledger.LedgerShards;
import org.skylarkfork.core.ledger.MemberPeers;
import org.skylarkfork.core.membership.DirectoryPart;
import org.skylarkfork.core.membership.DirectorySettings;
import org.skylarkfork.core.membership.EntryList;
import org.skylarkfork.core.membership.EntryListSettings;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.MembershipPart;
import org.skylarkfork.core.membership.MembershipSettings;
import org.skylarkfork.core.membership.Seed;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.core.order.OrderMachine;
import org.skylarkfork.core.order.OrderPart;
import org.skylarkfork.core.order.OrderSettings;
import org.skylarkfork.core.quality.QualitySettings;
import org.skylarkfork.core.quality.SharedVersionQuality;
import org.skylarkfork.core.routing.Candidates;
import org.skylarkfork.core.routing.ChooserSettings;
import org.skylarkfork.core.routing.CompiledRules;
import org.skylarkfork.core.routing.CurrentRules;
import org.skylarkfork.core.routing.DirectPlanner;
import org.skylarkfork.core.routing.DryRunPart;
import org.skylarkfork.core.routing.FixedOrderPlanner;
import org.skylarkfork.core.routing.LeastCostPlanner;
import org.skylarkfork.core.routing.Planner;
import org.skylarkfork.core.routing.PlannerSettings;
import org.skylarkfork.core.routing.PowerOfTwoChooser;
import org.skylarkfork.core.routing.RoutePlanner;
import org.skylarkfork.core.routing.VersionChooser;
import org.skylarkfork.core.session.SessionPart;
import org.skylarkfork.core.session.SessionSettings;
import org.skylarkfork.core.session.SessionTokens;
import org.skylarkfork.runtime.codec.Codec;
import org.skylarkfork.runtime.settings.DaemonSettings;

/** The parts of one daemon, put together in the order in which they see each event. */
final class NodeParts {

  private static final int LEDGER_SHARDS = 1;
  private static final List<GroupId> ALL_GROUPS = List.of(GroupId.CONFIGURATION, GroupId.LEDGER);

  /**
   * How far an entry may exceed its even share of the upstreams, since callers don't spread evenly.
   */
  private static final double HEADROOM = 2.0;

  private final DaemonSettings settings;
  private final long seed;
  private final ConfigurationMachine configurationMachine = new ConfigurationMachine();
  private final LedgerMachine ledgerMachine = new LedgerMachine(LedgerBounds.DEFAULT);
  private final OrderMachine orderMachine = new OrderMachine();
  private final LedgerShards shards = new LedgerShards(LEDGER_SHARDS);
  private final ConsensusPart consensus;
  private final MembershipPart membership;
  private final ConfigurationPart configuration;
  private final DirectoryPart directory;
  private final EntryList entries;
  private final SharedVersionQuality quality;
  private final SessionPart sessions;
  private final LedgerPart ledger;
  private final OrderPart orders;
  private final LeasedShares shares;
  private final FairAdmission admission;
  private final RequestPart requests;
  private final DryRunPart dryRun;

  /**
   * Puts the parts together.
   *
   * @param settings the daemon's settings
   * @param self the daemon as the others see it
   * @param codec the wire's codec
   * @param seed seed that no other daemon and no other start of this one has
   */
  NodeParts(DaemonSettings settings, Member self, Codec codec, long seed) {
    this.settings = settings;
    this.seed = seed;
    consensus =
        new ConsensusPart(
            settings.node(), groups(), RaftSettings.defaults(), new WireCodec(codec), seed);
    LateView late = new LateView();
    membership = new MembershipPart(self, seeds(settings), late, MembershipSettings.DEFAULT, seed);
    configuration = configurationPart();
    late.view = configuration;
    directory = new DirectoryPart(membership, configuration, DirectorySettings.DEFAULT, seed);
    entries = new EntryList(membership, configuration, listSettings(settings));
    quality = qualityBook(self.incarnation());
    sessions =
        new SessionPart(
            membership, configuration, SessionSettings.DEFAULT, tokens(settings.sessionSecret()));
    ledger =
        new LedgerPart(
            LedgerSettings.DEFAULT,
            settings.node(),
            self.incarnation(),
            shards,
            consensus.submitter(),
            new MemberPeers(membership));
    orders =
        new OrderPart(
            OrderSettings.DEFAULT,
            settings.node() + "-" + self.incarnation(),
            orderMachine,
            configuration,
            directory,
            consensus.submitter());
    Planner planner = planner();
    dryRun = new DryRunPart(configuration, new CurrentRules(configuration), planner);
    shares = new LeasedShares(membership, this::load, this::limits, ShareSettings.DEFAULT);
    admission =
        new FairAdmission(
            new AnnouncedCapacity(directory, this::servingEntries, HEADROOM),
            shares,
            AdmissionSettings.DEFAULT);
    requests = requestPart(planner);
  }

  private List<GroupSetup> groups() {
    boolean hosts = settings.isVoter();
    GroupSetup configurationGroup =
        new GroupSetup(
            GroupId.CONFIGURATION, settings.voters(), hosts ? configurationAndOrders() : null);
    GroupSetup ledgerGroup =
        new GroupSetup(GroupId.LEDGER, settings.voters(), hosts ? ledgerMachine : null);
    return List.of(configurationGroup, ledgerGroup);
  }

  private StateMachine configurationAndOrders() {
    return new CompositeMachine(
        List.of(
            new CompositeMachine.Route(ConfigurationCommand.class, configurationMachine),
            new CompositeMachine.Route(OrderCommand.class, orderMachine)));
  }

  private ConfigurationPart configurationPart() {
    ZoneTree sources =
        new ZoneTree(
            settings.node(),
            settings::voters,
            () -> membership.liveIn(settings.zone()).stream().map(Member::name).toList());
    LocalReplica replica =
        settings.isVoter()
            ? new LocalReplica(
                configurationMachine, now -> consensus.holdsLease(GroupId.CONFIGURATION, now))
            : null;
    return new ConfigurationPart(
        settings.node(),
        ConfigurationSettings.defaults(settings.bootstrapOperatorKeySha256()),
        sources,
        settings.voters(),
        consensus.submitter(),
        replica);
  }

  private static EntryListSettings listSettings(DaemonSettings settings) {
    return new EntryListSettings(
        settings.entryListLifetime(), EntryListSettings.DEFAULT.propagationMargin());
  }

  private SharedVersionQuality qualityBook(long incarnation) {
    return new SharedVersionQuality(
        settings.node(),
        incarnation,
        QualitySettings.DEFAULT,
        configuration,
        this::otherEntries,
        NodeParts::proposeWithdrawal,
        seed);
  }

  private static void proposeWithdrawal(
      ModelVersion version, String changeId, String reason, Instant now, Output output) {
    output.effect(new TraceEffect.LogLine(true, "quality", "withdraws " + version + ": " + reason));
    output.raise(
        new ConfigurationEvent.ChangeProposed(
            changeId, "quality", new ConfigurationChange.WithdrawVersion(version, null)));
  }

  private List<String> otherEntries() {
    return membership.live().stream()
        .map(Member::name)
        .filter(name -> !name.equals(settings.node()))
        .toList();
  }

  private TeamLoad load(String team) {
    return admission.load(team);
  }

  private Optional<Limits> limits(String team) {
    return configuration.current().team(team).map(Team::limits);
  }

  private int servingEntries() {
    return (int)
        membership.live().stream()
            .filter(member -> member.hasRole(Member.ENTRY))
            .filter(member -> member.serving() == ServingState.SERVING)
            .count();
  }

  private static SessionTokens tokens(String secret) {
    return new SessionTokens(List.of(secret.getBytes(StandardCharsets.UTF_8)));
  }

  private Planner planner() {
    Candidates candidates =
        new Candidates(
            configuration,
            new VersionChooser(configuration, directory, quality, sessions, settings.zone()));
    return new RoutePlanner(
        new LeastCostPlanner(candidates, quality, PlannerSettings.DEFAULT, seed),
        new DirectPlanner(candidates),
        new FixedOrderPlanner(candidates));
  }

  private RequestPart requestPart(Planner planner) {
    return new RequestPart(
        new RequestCollaborators(
            configuration,
            current -> new CompiledRules(current.rules()),
            planner,
            directory,
            new PowerOfTwoChooser(settings.zone(), ChooserSettings.DEFAULT, seed),
            quality,
            sessions,
            ledger,
            admission,
            entries,
            new VoterCrashReviewers(settings.node(), settings.voters())),
        RequestSettings.DEFAULT,
        seed);
  }

  private static List<Seed> seeds(DaemonSettings settings) {
    return settings.seeds().stream()
        .map(seed -> new Seed(seed.node(), seed.host(), seed.port()))
        .toList();
  }

  /** Returns a reducer over all parts. */
  Reducer reducer() {
    List<Part> parts =
        new ArrayList<>(
            List.of(
                consensus,
                new ConsensusEventLogger(),
                new ControlVmPart(ALL_GROUPS, consensus.submitter()),
                membership,
                configuration,
                directory,
                entries,
                quality,
                dryRun,
                shares,
                requests,
                admission,
                sessions,
                ledger));
    if (settings.isVoter()) {
      parts.add(orders);
      parts.add(
          new CrashReviewPart(
              configuration,
              this::leadsConfiguration,
              new DaemonPartObservers(settings.node(), this::liveDaemons)));
    }
    return new Reducer(parts);
  }

  private List<String> liveDaemons() {
    return membership.live().stream().map(Member::name).toList();
  }

  private boolean leadsConfiguration(Instant now) {
    return consensus.holdsLease(GroupId.CONFIGURATION, now);
  }

  /** Returns the groups whose replicas this daemon hosts. */
  List<GroupId> hostedGroups() {
    return settings.isVoter() ? ALL_GROUPS : List.of();
  }

  ConsensusPart consensus() {
    return consensus;
  }

  OrderMachine orderMachine() {
    return orderMachine;
  }

  MembershipPart membership() {
    return membership;
  }

  ConfigurationPart configuration() {
    return configuration;
  }

  DirectoryPart directory() {
    return directory;
  }

  EntryList entries() {
    return entries;
  }

  RequestPart requests() {
    return requests;
  }

  LeasedShares shares() {
    return shares;
  }

  FairAdmission admission() {
    return admission;
  }

  LedgerMachine ledgerMachine() {
    return ledgerMachine;
  }

  /** Stands for the configuration part until it is made, since membership is made before it. */
  private static final class LateView implements ConfigurationView {
    private @Nullable ConfigurationView view;

    @Override
    public Configuration current() {
      return view == null ? Configuration.EMPTY : view.current();
    }

    @Override
    public boolean mayServe(Instant now) {
      return view != null && view.mayServe(now);
    }

    @Override
    public Optional<Team> teamByKeyHash(String sha256) {
      return view == null ? Optional.empty() : view.teamByKeyHash(sha256);
    }
  }
}
