package org.skylarkfork.core.quality;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.Output;
import org.skylarkfork.core.Part;
import org.skylarkfork.core.configuration.Configuration;
import org.skylarkfork.core.configuration.ConfigurationView;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.effect.PeerEffect;
import org.skylarkfork.core.effect.TraceEffect;
import org.skylarkfork.core.event.Event;
import org.skylarkfork.core.event.LifecycleEvent;
import org.skylarkfork.core.event.PeerEvent;
import org.skylarkfork.core.event.QualityEvent;
import org.skylarkfork.core.message.QualityMessage;

/**
 * Estimates and verdicts from the evidence of all entries.
 *
 * <p>Each entry counts for itself and tells a few peers a second what changed. Each runs the test
 * for bad versions on the merged counts; the first that finds one tells all others at once.
 */
public final class SharedVersionQuality implements VersionQuality, Part {

  private static final Duration ROUND_INTERVAL = Duration.ofSeconds(1);

  /** How many peers hear a new verdict at once; they pass it on. */
  private static final int VERDICT_FANOUT = 16;

  private static final double MIN_FALSE_ALARM_BOUND = 1e-9;

  private final String entry;
  private final long incarnation;
  private final QualitySettings settings;
  private final ConfigurationView configuration;
  private final Supplier<List<String>> peers;
  private final VersionWithdrawer withdrawer;
  private final UniformRandomProvider random;
  private final MergedCounters merged = new MergedCounters();
  private final LocalCounters local;
  private final EvidenceHistory history = new EvidenceHistory();
  private final DecayedCounts decayed;
  private final QualityEstimator estimator;
  private final BadVersionDetector detector;
  private final Verdicts verdicts = new Verdicts();
  private final List<String> remainingPeers = new ArrayList<>();
  private Set<ModelVersion> withdrawn = Set.of();
  private Instant nextRound = Instant.MIN;

  /**
   * Makes an empty book.
   *
   * @param entry node name of this process
   * @param incarnation number of this process; a restart has a higher one
   * @param settings how it works
   * @param configuration gives priors, roll-outs and the policy
   * @param peers gives the node names of the other entries
   * @param withdrawer submits withdrawals
   * @param seed seed of the choice of peers
   */
  public SharedVersionQuality(
      String entry,
      long incarnation,
      QualitySettings settings,
      ConfigurationView configuration,
      Supplier<List<String>> peers,
      VersionWithdrawer withdrawer,
      long seed) {
    this.entry = entry;
    this.incarnation = incarnation;
    this.settings = settings;
    this.configuration = configuration;
    this.peers = peers;
    this.withdrawer = withdrawer;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.local = new LocalCounters(entry, incarnation);
    this.decayed = new DecayedCounts(settings.halfLifeEpochs());
    this.estimator = new QualityEstimator(decayed, configuration, settings.priorStrength());
    this.detector = new BadVersionDetector(history, settings);
  }

  @Override
  public Estimate estimate(ModelVersion version, String team, int promptTokens, double target) {
    return estimator.estimate(new EvidenceKey(version, SizeClass.of(promptTokens), false), target);
  }

  @Override
  public Estimate estimateEscalated(
      ModelVersion version, String team, int promptTokens, double target) {
    return estimator.estimate(new EvidenceKey(version, SizeClass.of(promptTokens), true), target);
  }

  @Override
  public double expectedMillis(ModelVersion version, int promptTokens) {
    return estimator.meanMillis(version, SizeClass.of(promptTokens));
  }

  @Override
  public double expectedTokens(ModelVersion version, int promptTokens) {
    return estimator.meanTokens(version, SizeClass.of(promptTokens));
  }

  @Override
  public double ratingShare(ModelVersion version, double configuredShare) {
    return detector.needsMoreRatings(version) ? 1 : configuredShare;
  }

  @Override
  public boolean isSuspect(ModelVersion version) {
    return verdicts.isSuspect(version);
  }

  @Override
  public void record(AttemptOutcome outcome, Instant now) {
    long epoch = settings.epochAt(now.toEpochMilli());
    EvidenceKey key =
        new EvidenceKey(
            outcome.version(), SizeClass.of(outcome.promptTokens()), outcome.escalated());
    long[] counts = Counters.of(outcome);
    decayed.advance(epoch);
    local.add(epoch, key, counts);
    addCounts(epoch, key, counts);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick && !now.isBefore(nextRound)) {
      nextRound = now.plus(ROUND_INTERVAL);
      runRound(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof QualityMessage.Evidence evidence) {
      receiveEvidence(evidence, received.node(), now, output);
    } else if (event instanceof PeerEvent.ConnectionLost lost) {
      local.resetPeer(lost.node());
    }
  }

  private void addCounts(long epoch, EvidenceKey key, long[] counts) {
    history.add(epoch, key, counts);
    decayed.add(epoch, key, counts);
  }

  private void runRound(Instant now, Output output) {
    long epoch = settings.epochAt(now.toEpochMilli());
    long oldestOpen = epoch - settings.openEpochs();
    decayed.advance(epoch);
    local.removeBefore(oldestOpen);
    merged.removeBefore(oldestOpen);
    history.removeBefore(epoch - settings.windowEpochs());
    clearReinstated(now, output);
    testVersions(epoch, now, output);
    sendCounters(output);
  }

  /** Tells the next few peers, in an order that is shuffled anew once all had their turn. */
  private void sendCounters(Output output) {
    if (remainingPeers.isEmpty()) {
      remainingPeers.addAll(otherEntries());
    }
    int count = Math.min(settings.peersPerRound(), remainingPeers.size());
    List<String> batch = remainingPeers.subList(0, count);
    for (String peer : batch) {
      List<QualityCounters> unsent = local.unsentCounters(peer, settings.countersPerMessage());
      List<Verdict> currentVerdicts = verdicts.all();
      if (!unsent.isEmpty() || !currentVerdicts.isEmpty()) {
        sendEvidence(peer, unsent, currentVerdicts, output);
      }
    }
    batch.clear();
  }

  private List<String> otherEntries() {
    List<String> others = new ArrayList<>(peers.get());
    others.remove(entry);
    for (int i = others.size() - 1; i > 0; i--) {
      Collections.swap(others, i, random.nextInt(i + 1));
    }
    return others;
  }

  private static void sendEvidence(
      String peer, List<QualityCounters> counters, List<Verdict> verdicts, Output output) {
    output.effect(new PeerEffect.SendToPeer(peer, new QualityMessage.Evidence(counters, verdicts)));
  }

  private void receiveEvidence(
      QualityMessage.Evidence evidence, String node, Instant now, Output output) {
    long epoch = settings.epochAt(now.toEpochMilli());
    decayed.advance(epoch);
    for (QualityCounters received : evidence.counters()) {
      boolean isOpen =
          received.epoch() > epoch - settings.openEpochs() && received.epoch() <= epoch + 1;
      // Own counts that come back must not be counted as another's.
      boolean isRemote = !received.entry().equals(entry) || received.incarnation() != incarnation;
      if (isOpen && isRemote) {
        merged
            .merge(received)
            .ifPresent(increase -> addCounts(received.epoch(), received.key(), increase));
      }
    }
    for (Verdict verdict : evidence.verdicts()) {
      applyVerdict(verdict, node, now, output);
    }
  }

  private void testVersions(long epoch, Instant now, Output output) {
    Configuration current = configuration.current();
    for (ModelVersion version : history.drainChanged()) {
      if (verdicts.isSuspect(version)) {
        reinstateIfRecovered(version, current, epoch, now, output);
      } else if (!current.isWithdrawn(version)) {
        detector
            .test(version, current, falseAlarmBound(version, current), epoch)
            .ifPresent(finding -> markSuspect(version, finding, now, output));
      }
    }
  }

  /** Returns the bound for a false alarm; each further test of a version has half of the last's. */
  private double falseAlarmBound(ModelVersion version, Configuration current) {
    long number = verdicts.of(version).map(Verdict::number).orElse(0L);
    double halvings = 1 + number / 2.0;
    double bound = current.versionPolicy().falseAlarmRate() * Math.pow(0.5, halvings);
    return Math.max(MIN_FALSE_ALARM_BOUND, bound);
  }

  private void markSuspect(
      ModelVersion version, BadVersionDetector.Finding finding, Instant now, Output output) {
    Verdict verdict = nextVerdict(version, true, finding.message(), now);
    applyVerdict(verdict, null, now, output);
    if (configuration.current().versionPolicy().withdrawAutomatically()) {
      String changeId = "withdraw-suspect-%s-%d".formatted(version, verdict.number());
      withdrawer.withdraw(version, changeId, verdict.reason(), now, output);
    }
  }

  private void reinstateIfRecovered(
      ModelVersion version, Configuration current, long epoch, Instant now, Output output) {
    Verdict verdict = verdicts.of(version).orElseThrow();
    long doublings = Math.min(10, verdict.number() / 2);
    Duration suspectTime = settings.minSuspectTime().multipliedBy(1L << doublings);
    if (now.isBefore(verdict.since().plus(suspectTime)) || current.isWithdrawn(version)) {
      return;
    }
    long since = settings.epochAt(now.minus(suspectTime).toEpochMilli());
    if (detector.hasRecovered(version, current, since, epoch)) {
      applyVerdict(
          nextVerdict(version, false, "its evidence is good again", now), null, now, output);
    }
  }

  /** Clears a suspect that the operators withdrew and then took back: they know more than we. */
  private void clearReinstated(Instant now, Output output) {
    Set<ModelVersion> current = new HashSet<>(configuration.current().withdrawn());
    for (ModelVersion version : withdrawn) {
      if (!current.contains(version) && verdicts.isSuspect(version)) {
        applyVerdict(
            nextVerdict(version, false, "operators reinstated it", now), null, now, output);
      }
    }
    withdrawn = current;
  }

  private Verdict nextVerdict(ModelVersion version, boolean suspect, String reason, Instant now) {
    long number = verdicts.of(version).map(Verdict::number).orElse(0L) + 1;
    return new Verdict(version, number, suspect, reason, now);
  }

  /** Takes a verdict over, here or from a peer, and passes it on if it is news. */
  private void applyVerdict(Verdict verdict, @Nullable String from, Instant now, Output output) {
    boolean wasSuspect = verdicts.isSuspect(verdict.version());
    if (!verdicts.merge(verdict)) {
      return;
    }
    if (wasSuspect != verdict.suspect()) {
      announce(verdict, now, output);
    }
    otherEntries().stream()
        .filter(peer -> !peer.equals(from))
        .limit(VERDICT_FANOUT)
        .forEach(peer -> sendEvidence(peer, List.of(), List.of(verdict), output));
  }

  private void announce(Verdict verdict, Instant now, Output output) {
    ModelVersion version = verdict.version();
    if (verdict.suspect()) {
      output.raise(new QualityEvent.VersionSuspected(version, verdict.reason()));
    } else {
      detector.restart(version, settings.epochAt(now.toEpochMilli()));
      output.raise(new QualityEvent.VersionCleared(version, verdict.reason()));
    }
    String what = verdict.suspect() ? "version.suspected" : "version.cleared";
    output.effect(
        new TraceEffect.TimelineEntry(
            now, what, null, null, version.toString(), null, verdict.reason()));
    output.effect(
        new TraceEffect.LogLine(
            verdict.suspect(), "quality", what + " " + version + ", " + verdict.reason()));
    output.effect(new TraceEffect.Count("version_verdicts", what, 1));
  }
}
