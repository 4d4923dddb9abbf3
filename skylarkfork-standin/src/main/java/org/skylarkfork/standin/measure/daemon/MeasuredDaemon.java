package org.skylarkfork.standin.measure.daemon;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.Reducer;
import org.skylarkfork.core.admission.Admission;
import org.skylarkfork.core.admission.AdmissionSettings;
import org.skylarkfork.core.admission.AnnouncedCapacity;
import org.skylarkfork.core.admission.EvenShares;
import org.skylarkfork.core.admission.FairAdmission;
import org.skylarkfork.core.admission.FifoAdmission;
import org.skylarkfork.core.admission.OpenAdmission;
import org.skylarkfork.core.attempt.RequestCollaborators;
import org.skylarkfork.core.attempt.RequestPart;
import org.skylarkfork.core.attempt.RequestSettings;
import org.skylarkfork.core.attempt.VoterCrashReviewers;
import org.skylarkfork.core.configuration.ConfigurationChange;
import org.skylarkfork.core.consensus.Submitter;
import org.skylarkfork.core.effect.Effect;
import org.skylarkfork.core.event.ConfigurationEvent;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.ledger.LedgerPart;
import org.skylarkfork.core.ledger.LedgerSettings;
import org.skylarkfork.core.ledger.LedgerShards;
import org.skylarkfork.core.ledger.LivePeers;
import org.skylarkfork.core.membership.DirectoryPart;
import org.skylarkfork.core.membership.DirectorySettings;
import org.skylarkfork.core.membership.EntryListing;
import org.skylarkfork.core.membership.Member;
import org.skylarkfork.core.membership.MembershipPart;
import org.skylarkfork.core.membership.MembershipSettings;
import org.skylarkfork.core.membership.ServingState;
import org.skylarkfork.core.quality.QualitySettings;
import org.skylarkfork.core.quality.SharedVersionQuality;
import org.skylarkfork.core.quality.VersionQuality;
import org.skylarkfork.core.quality.VersionWithdrawer;
import org.skylarkfork.core.routing.BestModelPlanner;
import org.skylarkfork.core.routing.Candidates;
import org.skylarkfork.core.routing.CheapestModelPlanner;
import org.skylarkfork.core.routing.ChooserSettings;
import org.skylarkfork.core.routing.CompiledRules;
import org.skylarkfork.core.routing.DirectPlanner;
import org.skylarkfork.core.routing.FixedOrderPlanner;
import org.skylarkfork.core.routing.LeastCostPlanner;
import org.skylarkfork.core.routing.LeastReportedLoadChooser;
import org.skylarkfork.core.routing.Planner;
import org.skylarkfork.core.routing.PlannerSettings;
import org.skylarkfork.core.routing.PowerOfTwoChooser;
import org.skylarkfork.core.routing.RandomChooser;
import org.skylarkfork.core.routing.RoundRobinChooser;
import org.skylarkfork.core.routing.RoutePlanner;
import org.skylarkfork.core.routing.UpstreamChooser;
import org.skylarkfork.core.routing.VersionChooser;
import org.skylarkfork.core.session.SessionPart;
import org.skylarkfork.core.session.SessionSettings;
import org.skylarkfork.core.session.SessionTokens;

/** The parts of a daemon as in production, but for what the policy replaces. */
final class MeasuredDaemon {

  private static final String NODE = "entry1";
  private static final int MOST_WAITING = AdmissionSettings.DEFAULT.maxWaiting();

  private final Deployment deployment;
  private final Policy policy;
  private final long seed;
  private final FakeConfiguration configuration;
  private final MembershipPart membership;
  private final DirectoryPart directory;
  private final SharedVersionQuality shared;
  private final CountingLedger ledger;
  private final Reducer reducer;

  /**
   * Puts the parts together.
   *
   * @param submitter agrees on claims and bills
   */
  MeasuredDaemon(
      Deployment deployment,
      Policy policy,
      FakeConfiguration configuration,
      Submitter submitter,
      long seed) {
    this.deployment = deployment;
    this.policy = policy;
    this.seed = seed;
    this.configuration = configuration;
    String zone = deployment.zones().get(0);
    Member self = member(zone);
    membership =
        new MembershipPart(self, List.of(), configuration, MembershipSettings.DEFAULT, seed);
    directory = new DirectoryPart(membership, configuration, DirectorySettings.DEFAULT, seed);
    shared = sharedBook();
    VersionQuality quality = shared;
    Part qualityPart = shared;
    if (policy.detection() != Policy.DetectionKind.SEQUENTIAL) {
      boolean detects = policy.detection() == Policy.DetectionKind.THRESHOLD;
      ThresholdBook book = new ThresholdBook(shared, shared, detects);
      quality = book;
      qualityPart = book;
    }
    SessionPart sessions =
        new SessionPart(
            membership,
            configuration,
            SessionSettings.DEFAULT,
            new SessionTokens(
                List.of("measuring-session-secret".getBytes(StandardCharsets.UTF_8))));
    LedgerPart ledgerPart =
        new LedgerPart(
            LedgerSettings.DEFAULT, NODE, 1, new LedgerShards(1), submitter, new NoPeers());
    ledger = new CountingLedger(ledgerPart);
    Admission admission = admission();
    RequestPart requests =
        new RequestPart(
            new RequestCollaborators(
                configuration,
                current -> new CompiledRules(current.rules()),
                planner(
                    new VersionChooser(configuration, directory, quality, sessions, zone), quality),
                directory,
                chooser(zone),
                quality,
                sessions,
                ledger,
                admission,
                new AlwaysListed(),
                new VoterCrashReviewers(NODE, List.of())),
            requestSettings(),
            seed);
    List<Part> parts =
        new ArrayList<>(List.of(membership, configuration, directory, qualityPart, requests));
    if (admission instanceof Part waiting) {
      parts.add(waiting);
    }
    parts.addAll(List.of(sessions, ledgerPart));
    reducer = new Reducer(parts);
  }

  /** Applies an event and returns the effects. */
  List<Effect> apply(Event event, Instant now) {
    return reducer.apply(event, now);
  }

  CountingLedger ledger() {
    return ledger;
  }

  private static Member member(String zone) {
    return new Member(
        NODE,
        "127.0.0.1",
        7000,
        7001,
        7002,
        zone,
        "region",
        List.of(Member.ENTRY),
        1,
        1,
        1,
        ServingState.SERVING);
  }

  private SharedVersionQuality sharedBook() {
    VersionWithdrawer withdrawer =
        policy.detection() == Policy.DetectionKind.SEQUENTIAL
            ? (version, changeId, reason, now, output) ->
                output.raise(
                    new ConfigurationEvent.ChangeProposed(
                        changeId,
                        "quality",
                        new ConfigurationChange.WithdrawVersion(version, null)))
            : VersionWithdrawer.NONE;
    return new SharedVersionQuality(
        NODE, 1, QualitySettings.DEFAULT, configuration, List::of, withdrawer, seed);
  }

  private Planner planner(VersionChooser versions, VersionQuality quality) {
    Candidates candidates = new Candidates(configuration, versions);
    Planner cheapest =
        switch (policy.planner()) {
          case LEAST_COST ->
              new LeastCostPlanner(candidates, quality, PlannerSettings.DEFAULT, seed);
          case BEST -> new BestModelPlanner(candidates, quality);
          case CHEAPEST -> new CheapestModelPlanner(candidates);
          case FIXED_ORDER -> new FixedOrderPlanner(candidates);
        };
    return new RoutePlanner(
        cheapest, new DirectPlanner(candidates), new FixedOrderPlanner(candidates));
  }

  private UpstreamChooser chooser(String zone) {
    return switch (policy.chooser()) {
      case POWER_OF_TWO -> new PowerOfTwoChooser(zone, ChooserSettings.DEFAULT, seed);
      case RANDOM -> new RandomChooser(seed);
      case ROUND_ROBIN -> new RoundRobinChooser();
      case LEAST_REPORTED -> new LeastReportedLoadChooser();
    };
  }

  private Admission admission() {
    return switch (policy.admission()) {
      case FAIR ->
          new FairAdmission(
              new AnnouncedCapacity(directory, () -> 1, 1),
              new EvenShares(() -> 1),
              AdmissionSettings.DEFAULT);
      case FIFO -> new FifoAdmission(slots(), MOST_WAITING);
      case OPEN -> new OpenAdmission();
    };
  }

  private int slots() {
    int engines = deployment.engines().stream().mapToInt(EngineSpec::capacity).sum();
    return engines + deployment.services().stream().mapToInt(ServiceSpec::capacity).sum();
  }

  private RequestSettings requestSettings() {
    RequestSettings usual = RequestSettings.DEFAULT;
    if (policy.hedging()) {
      return usual;
    }
    return new RequestSettings(
        usual.maxRequests(),
        usual.maxHeldBytes(),
        usual.maxAttempts(),
        usual.maxBackoffs(),
        usual.firstBackoff(),
        usual.tokenTimeout(),
        usual.maxFirstTokenTimeout(),
        usual.watchdogGrace(),
        usual.pinTimeout(),
        usual.ratingTimeout(),
        usual.deliveryTimeout(),
        usual.retryShare(),
        usual.retryReserve(),
        usual.hedgeShare(),
        usual.hedgePercentile(),
        Integer.MAX_VALUE,
        usual.sampledRatingShare());
  }

  /** The daemon is alone. */
  private static final class NoPeers implements LivePeers {
    @Override
    public List<String> backups(Instant now) {
      return List.of();
    }

    @Override
    public boolean isGone(String node, Instant now) {
      return false;
    }
  }

  /** The daemon stays on the entry list. */
  private static final class AlwaysListed implements EntryListing {
    @Override
    public EntryPage entries(Instant now) {
      return new EntryPage(List.of(), 0);
    }

    @Override
    public boolean acceptsNewWork(Instant now) {
      return true;
    }
  }
}
