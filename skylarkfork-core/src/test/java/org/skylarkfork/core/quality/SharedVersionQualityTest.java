package org.skylarkfork.core.quality;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.skylarkfork.core.configuration.ModelVersion;
import org.testng.annotations.Test;

/** Tests that entries learn together and agree on bad versions. */
public class SharedVersionQualityTest {

  /*
   * Three entries serve the same version and tell each other their counts over a network that
   * repeats and reorders each message. Counts added up by message would weigh some ratings twice,
   * and entries would disagree on a version's quality for ever; merged by the greater count, all
   * come to the estimate of one book that saw every rating.
   */
  @Test
  public void repeatedAndReorderedMessagesCountOnce() {
    QualityNetwork network = new QualityNetwork(3);
    network.duplicateRate = 0.7;
    QualityNetwork single = new QualityNetwork(1);
    for (int second = 0; second < 40; second++) {
      for (int entry = 0; entry < 3; entry++) {
        double rating = network.random.nextDouble();
        network.record(entry, QualityNetwork.OLD, rating);
        single.record(0, QualityNetwork.OLD, rating);
      }
      network.runSecond();
      single.runSecond();
    }
    for (int second = 0; second < 10; second++) {
      network.runSecond();
      single.runSecond();
    }
    VersionQuality.Estimate expected = estimate(single, 0, 0.5);
    for (int entry = 0; entry < 3; entry++) {
      VersionQuality.Estimate merged = estimate(network, entry, 0.5);
      assertEquals(merged.samples(), expected.samples(), expected.samples() * 1e-6);
      assertEquals(merged.mean(), expected.mean(), 1e-6);
    }
  }

  @Test
  public void estimateStartsAtPriorAndFollowsDrift() {
    QualityNetwork network = new QualityNetwork(1);
    assertEquals(estimate(network, 0, 0.7).mean(), 0.8, 1e-9);
    double priorDeviation = estimate(network, 0, 0.7).standardDeviation();
    for (int second = 0; second < 1_200; second++) {
      network.record(0, QualityNetwork.OLD, second % 10 == 0 ? 0.2 : 0.9);
      network.runSecond();
    }
    assertEquals(estimate(network, 0, 0.7).mean(), 0.9, 0.02);
    assertTrue(estimate(network, 0, 0.7).standardDeviation() < priorDeviation / 5);
    for (int second = 0; second < 1_800; second++) {
      network.record(0, QualityNetwork.OLD, second % 2 == 0 ? 0.2 : 0.9);
      network.runSecond();
    }
    assertEquals(estimate(network, 0, 0.7).mean(), 0.5, 0.06, "half-life is 10 minutes");
  }

  @Test
  public void missingRatingsDoNotLowerEstimate() {
    QualityNetwork network = new QualityNetwork(1);
    for (int second = 0; second < 600; second++) {
      network.record(0, QualityNetwork.OLD, second % 10 == 0 ? 0.95 : null);
      network.runSecond();
    }
    assertTrue(estimate(network, 0, 0.9).mean() > 0.95);
    assertTrue(estimate(network, 0, 1.0).mean() > 0.95, "the last class counts for target 1");
    assertFalse(network.qualities.get(0).isSuspect(QualityNetwork.OLD));
  }

  /*
   * A version turns bad while nine entries share its load and a third of the messages are lost.
   * Each entry alone sees too few ratings to tell; together they find it, and each of them stops
   * giving it new sessions within seconds.
   */
  @Test
  public void nineEntriesDetectBadVersionDespiteMessageLoss() {
    QualityNetwork network = new QualityNetwork(9);
    network.lossRate = 0.3;
    network.withdrawAutomatically = true;
    serve(network, 300, 0.9);
    assertFalse(
        network.qualities.stream().anyMatch(quality -> quality.isSuspect(QualityNetwork.NEW)));
    int seconds = 0;
    while (!network.qualities.stream().allMatch(quality -> quality.isSuspect(QualityNetwork.NEW))) {
      for (int entry = 0; entry < 9; entry += 3) {
        recordRandomRating(network, entry, QualityNetwork.OLD, 0.9);
        recordRandomRating(network, entry, QualityNetwork.NEW, 0.4);
      }
      network.runSecond();
      seconds++;
      assertTrue(seconds <= 40, "not found by all entries in 40 seconds");
    }
    assertFalse(
        network.qualities.stream().anyMatch(quality -> quality.isSuspect(QualityNetwork.OLD)));
    assertEquals(network.withdrawals.stream().distinct().count(), 1, "one change, however often");
  }

  @Test
  public void suspectIsClearedWhenOperatorsReinstateIt() {
    QualityNetwork network = new QualityNetwork(2);
    serve(network, 300, 0.9);
    serve(network, 60, 0.3);
    assertTrue(network.qualities.get(1).isSuspect(QualityNetwork.NEW));
    network.withdrawn = List.of(QualityNetwork.NEW);
    network.runSecond();
    assertTrue(network.qualities.get(1).isSuspect(QualityNetwork.NEW));
    network.withdrawn = List.of();
    serve(network, 5, 0.9);
    assertFalse(network.qualities.get(0).isSuspect(QualityNetwork.NEW));
    assertFalse(network.qualities.get(1).isSuspect(QualityNetwork.NEW));
  }

  @Test
  public void suspectIsClearedOnlyAfterEnoughGoodEvidence() {
    QualityNetwork network = new QualityNetwork(2);
    serve(network, 300, 0.9);
    serve(network, 60, 0.3);
    serve(network, 540, 0.9);
    assertTrue(network.qualities.get(0).isSuspect(QualityNetwork.NEW), "held for ten minutes");
    serve(network, 700, 0.9);
    assertFalse(network.qualities.get(0).isSuspect(QualityNetwork.NEW));
    assertFalse(network.qualities.get(1).isSuspect(QualityNetwork.NEW));
  }

  /** Lets entries in turn serve both versions, one rated answer a second each. */
  private static void serve(QualityNetwork network, int seconds, double newVersionChance) {
    for (int second = 0; second < seconds; second++) {
      int entry = network.random.nextInt(network.qualities.size());
      recordRandomRating(network, entry, QualityNetwork.OLD, 0.9);
      recordRandomRating(network, entry, QualityNetwork.NEW, newVersionChance);
      network.runSecond();
    }
  }

  private static void recordRandomRating(
      QualityNetwork network, int entry, ModelVersion version, double chance) {
    network.record(entry, version, network.random.nextDouble() < chance ? 0.9 : 0.2);
  }

  private static VersionQuality.Estimate estimate(
      QualityNetwork network, int entry, double target) {
    return network.qualities.get(entry).estimate(QualityNetwork.OLD, "club", 100, target);
  }
}
