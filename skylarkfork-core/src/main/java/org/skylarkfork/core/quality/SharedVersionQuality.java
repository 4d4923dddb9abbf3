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

  private static final Duration ROUND = Duration.ofSeconds(1);

  /** How many peers hear a new verdict at once; they pass it on. */
  private static final int VERDICT_PEERS = 16;

  private static final double LEAST_CHANCE = 1e-9;

  private final String entry;
  private final long incarnation;
  private final QualitySettings settings;
  private final ConfigurationView configuration;
  private final Supplier<List<String>> peers;
  private final VersionWithdrawer withdrawer;
  private final UniformRandomProvider random;
  private final EntryCounters merged = new EntryCounters();
  private final OwnCounters own;
  private final EvidenceHistory history = new EvidenceHistory();
  private final DecayedCounts decayed;
  private final QualityEstimator estimator;
  private final BadVersionDetector detector;
  private final Verdicts verdicts = new Verdicts();
  private final List<String> peersLeft = new ArrayList<>();
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
    this.own = new OwnCounters(entry, incarnation);
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
    return estimator.millis(version, SizeClass.of(promptTokens));
  }

  @Override
  public double expectedTokens(ModelVersion version, int promptTokens) {
    return estimator.tokens(version, SizeClass.of(promptTokens));
  }

  @Override
  public double ratingShare(ModelVersion version, double usual) {
    return detector.wantsRatings(version) ? 1 : usual;
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
    own.add(epoch, key, counts);
    count(epoch, key, counts);
  }

  @Override
  public void apply(Event event, Instant now, Output output) {
    if (event instanceof LifecycleEvent.Tick && !now.isBefore(nextRound)) {
      nextRound = now.plus(ROUND);
      round(now, output);
    } else if (event instanceof PeerEvent.MessageReceived received
        && received.message() instanceof QualityMessage.Evidence evidence) {
      takeIn(evidence, received.node(), now, output);
    } else if (event instanceof PeerEvent.ConnectionLost lost) {
      own.forgetPeer(lost.node());
    }
  }

  private void count(long epoch, EvidenceKey key, long[] counts) {
    history.add(epoch, key, counts);
    decayed.add(epoch, key, counts);
  }

  private void round(Instant now, Output output) {
    long epoch = settings.epochAt(now.toEpochMilli());
    long oldestOpen = epoch - settings.openEpochs();
    decayed.advance(epoch);
    own.forgetBefore(oldestOpen);
    merged.forgetBefore(oldestOpen);
    history.forgetBefore(epoch - settings.windowEpochs());
    clearReinstated(now, output);
    judge(epoch, now, output);
    share(output);
  }

  /** Tells the next few peers, in an order that is shuffled anew once all had their turn. */
  private void share(Output output) {
    if (peersLeft.isEmpty()) {
      peersLeft.addAll(otherEntries());
    }
    int count = Math.min(settings.peersPerRound(), peersLeft.size());
    List<String> turn = peersLeft.subList(0, count);
    for (String peer : turn) {
      List<QualityCounters> news = own.news(peer, settings.countersPerMessage());
      List<Verdict> known = verdicts.all();
      if (!news.isEmpty() || !known.isEmpty()) {
        tell(peer, news, known, output);
      }
    }
    turn.clear();
  }

  private List<String> otherEntries() {
    List<String> others = new ArrayList<>(peers.get());
    others.remove(entry);
    for (int i = others.size() - 1; i > 0; i--) {
      Collections.swap(others, i, random.nextInt(i + 1));
    }
    return others;
  }

  private static void tell(
      String peer, List<QualityCounters> counters, List<Verdict> verdicts, Output output) {
    output.effect(new PeerEffect.SendToPeer(peer, new QualityMessage.Evidence(counters, verdicts)));
  }

  private void takeIn(QualityMessage.Evidence evidence, String node, Instant now, Output output) {
    long epoch = settings.epochAt(now.toEpochMilli());
    decayed.advance(epoch);
    for (QualityCounters told : evidence.counters()) {
      boolean open = told.epoch() > epoch - settings.openEpochs() && told.epoch() <= epoch + 1;
      // Own counts that come back must not be counted as another's.
      boolean other = !told.entry().equals(entry) || told.incarnation() != incarnation;
      if (open && other) {
        merged.merge(told).ifPresent(rise -> count(told.epoch(), told.key(), rise));
      }
    }
    for (Verdict verdict : evidence.verdicts()) {
      decide(verdict, node, now, output);
    }
  }

  private void judge(long epoch, Instant now, Output output) {
    Configuration current = configuration.current();
    for (ModelVersion version : history.takeChanged()) {
      if (verdicts.isSuspect(version)) {
        reinstateIfRecovered(version, current, epoch, now, output);
      } else if (!current.isWithdrawn(version)) {
        detector
            .test(version, current, chance(version, current), epoch)
            .ifPresent(finding -> suspect(version, finding, now, output));
      }
    }
  }

  /** Returns the bound for a false alarm; each further test of a version has half of the last's. */
  private double chance(ModelVersion version, Configuration current) {
    long number = verdicts.of(version).map(Verdict::number).orElse(0L);
    double halvings = 1 + number / 2.0;
    double bound = current.versionPolicy().falseAlarmRate() * Math.pow(0.5, halvings);
    return Math.max(LEAST_CHANCE, bound);
  }

  private void suspect(
      ModelVersion version, BadVersionDetector.Finding finding, Instant now, Output output) {
    Verdict verdict = next(version, true, finding.sentence(), now);
    decide(verdict, null, now, output);
    if (configuration.current().versionPolicy().withdrawAutomatically()) {
      String changeId = "withdraw-suspect-%s-%d".formatted(version, verdict.number());
      withdrawer.withdraw(version, changeId, verdict.reason(), now, output);
    }
  }

  private void reinstateIfRecovered(
      ModelVersion version, Configuration current, long epoch, Instant now, Output output) {
    Verdict verdict = verdicts.of(version).orElseThrow();
    long doublings = Math.min(10, verdict.number() / 2);
    Duration hold = settings.reinstateAfter().multipliedBy(1L << doublings);
    if (now.isBefore(verdict.since().plus(hold)) || current.isWithdrawn(version)) {
      return;
    }
    long since = settings.epochAt(now.minus(hold).toEpochMilli());
    if (detector.hasRecovered(version, current, since, epoch)) {
      decide(next(version, false, "its evidence is good again", now), null, now, output);
    }
  }

  /** Clears a suspect that the operators withdrew and then took back: they know more than we. */
  private void clearReinstated(Instant now, Output output) {
    Set<ModelVersion> present = new HashSet<>(configuration.current().withdrawn());
    for (ModelVersion version : withdrawn) {
      if (!present.contains(version) && verdicts.isSuspect(version)) {
        decide(next(version, false, "operators reinstated it", now), null, now, output);
      }
    }
    withdrawn = present;
  }

  private Verdict next(ModelVersion version, boolean suspect, String reason, Instant now) {
    long number = verdicts.of(version).map(Verdict::number).orElse(0L) + 1;
    return new Verdict(version, number, suspect, reason, now);
  }

  /** Takes a verdict over, here or from a peer, and passes it on if it is news. */
  private void decide(Verdict verdict, @Nullable String from, Instant now, Output output) {
    boolean before = verdicts.isSuspect(verdict.version());
    if (!verdicts.merge(verdict)) {
      return;
    }
    if (before != verdict.suspect()) {
      announce(verdict, now, output);
    }
    otherEntries().stream()
        .filter(peer -> !peer.equals(from))
        .limit(VERDICT_PEERS)
        .forEach(peer -> tell(peer, List.of(), List.of(verdict), output));
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
