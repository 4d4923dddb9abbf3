package org.skylarkfork.standin.measure;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.jspecify.annotations.Nullable;
import org.skylarkfork.core.configuration.Model;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.configuration.Price;
import org.skylarkfork.core.configuration.RollOut;
import org.skylarkfork.core.quality.AttemptOutcome;
import org.skylarkfork.core.quality.VersionQuality;

/**
 * Measures how many requests and sessions a version that turns bad gets until it is suspect.
 *
 * <p>Half of 20 requests a second go to the new version of a roll-out, a quarter of the answers are
 * rated. The new version turns bad after ten minutes. The baseline lets each entry alone compare
 * the mean of its last 200 ratings with a fixed threshold. Prints one JSON line a case.
 */
public final class DetectionMeasure {

  private static final Instant BEGIN = Instant.parse("2026-05-04T08:00:00Z");
  private static final ModelVersion OLD = new ModelVersion("ruling", "1");
  private static final ModelVersion NEW = new ModelVersion("ruling", "2");
  private static final int REQUESTS_PER_SECOND = 20;
  private static final double RATED_SHARE = 0.25;
  private static final double NEW_SESSION_SHARE = 0.2;
  private static final double GOOD_CHANCE = 0.9;
  private static final double BAD_CHANCE = 0.5;
  private static final int ONSET_SECOND = 600;
  private static final int END_SECOND = 2_400;
  private static final int SLOW_SECONDS = 900;
  private static final int BASELINE_WINDOW = 200;
  private static final double BASELINE_THRESHOLD = 0.75;

  private DetectionMeasure() {}

  /**
   * Runs all cases.
   *
   * @param arguments number of runs a case, 20 if there is none, and the seed, 1 if there is none
   */
  public static void main(String[] arguments) {
    int runs = arguments.length > 0 ? Integer.parseInt(arguments[0]) : 20;
    long seed = arguments.length > 1 ? Long.parseLong(arguments[1]) : 1;
    for (Decay decay : Decay.values()) {
      for (int entries : new int[] {1, 9}) {
        Summary baseline = run(decay, entries, false, runs, seed);
        Summary shared = run(decay, entries, true, runs, seed);
        System.out.println(line(decay, entries, "window per entry", baseline, null));
        System.out.println(line(decay, entries, "shared sequential", shared, baseline));
      }
    }
  }

  /** How the new version changes. */
  public enum Decay {
    /** It stays good; each alarm is false. */
    NONE,
    /** It is bad from one second to the next. */
    SUDDEN,
    /** It gets worse over a quarter of an hour. */
    SLOW;

    double chance(int second) {
      if (this == NONE || second < ONSET_SECOND) {
        return GOOD_CHANCE;
      }
      double part =
          this == SUDDEN ? 1 : Math.min(1, (second - ONSET_SECOND) / (double) SLOW_SECONDS);
      return GOOD_CHANCE + part * (BAD_CHANCE - GOOD_CHANCE);
    }
  }

  /** Runs one case with several seeds. */
  static Summary run(Decay decay, int entries, boolean shared, int runs, long seed) {
    List<Result> results =
        IntStream.range(0, runs)
            .parallel()
            .mapToObj(i -> new Run(decay, entries, shared, seed + 1_000L * i).result())
            .toList();
    return new Summary(new ArrayList<>(results));
  }

  private static String line(
      Decay decay, int entries, String method, Summary summary, @Nullable Summary baseline) {
    String ratio =
        baseline == null || decay == Decay.NONE
            ? "null"
            : String.format(Locale.ROOT, "%.3f", summary.requests() / baseline.requests());
    return String.format(
        Locale.ROOT,
        "{\"measure\":\"detection\",\"decay\":\"%s\",\"entries\":%d,\"method\":\"%s\","
            + "\"runs\":%d,\"exposedRequests\":%.1f,\"exposedSessions\":%.1f,"
            + "\"secondsToAllEntries\":%.1f,\"alarmsBeforeOnset\":%d,\"notFound\":%d,"
            + "\"alarmsOnOldVersion\":%d,\"ratedShare\":%.3f,\"requestsOfBaseline\":%s}",
        decay.name().toLowerCase(Locale.ROOT),
        entries,
        method,
        summary.results().size(),
        summary.requests(),
        summary.sessions(),
        summary.seconds(),
        summary.falseAlarms(),
        summary.notFound(),
        summary.oldAlarms(),
        summary.rated(),
        ratio);
  }

  /** What one run gave; the second is that at which the last entry stopped giving new work. */
  record Result(
      int requests, int sessions, int second, boolean early, boolean oldAlarm, double rated) {}

  /** Means over the runs without an alarm before the onset. */
  record Summary(List<Result> results) {

    double requests() {
      return mean(results.stream().filter(r -> !r.early()).mapToInt(Result::requests));
    }

    double sessions() {
      return mean(results.stream().filter(r -> !r.early()).mapToInt(Result::sessions));
    }

    double seconds() {
      return mean(
          results.stream().filter(r -> !r.early()).mapToInt(r -> r.second() - ONSET_SECOND));
    }

    long falseAlarms() {
      return results.stream().filter(Result::early).count();
    }

    long notFound() {
      return results.stream().filter(r -> r.second() >= END_SECOND).count();
    }

    long oldAlarms() {
      return results.stream().filter(Result::oldAlarm).count();
    }

    double rated() {
      return results.stream().mapToDouble(Result::rated).average().orElse(0);
    }

    private static double mean(IntStream values) {
      return values.average().orElse(0);
    }
  }

  /** One run of one case. */
  private static final class Run {
    private final Decay decay;
    private final int entries;
    private final UniformRandomProvider random;
    private final List<VersionQuality> books = new ArrayList<>();
    private final @Nullable EntryBooks network;
    private int requests;
    private int sessions;
    private long ids;
    private double ratings;

    Run(Decay decay, int entries, boolean shared, long seed) {
      this.decay = decay;
      this.entries = entries;
      this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
      this.network = shared ? new EntryBooks(entries, configuration(), seed) : null;
      for (int i = 0; i < entries; i++) {
        books.add(
            network == null
                ? new WindowQualityBook(BASELINE_WINDOW, BASELINE_THRESHOLD)
                : network.book(i));
      }
    }

    Result result() {
      boolean early = false;
      int second = 0;
      while (second < END_SECOND && !allSuspect()) {
        second(second);
        second++;
        boolean good = decay == Decay.NONE || second < ONSET_SECOND;
        early |= good && books.stream().anyMatch(book -> book.isSuspect(NEW));
      }
      boolean oldAlarm = books.stream().anyMatch(book -> book.isSuspect(OLD));
      return new Result(requests, sessions, second, early, oldAlarm, ratings / ids);
    }

    private boolean allSuspect() {
      return books.stream().allMatch(book -> book.isSuspect(NEW));
    }

    private void second(int second) {
      Instant now = BEGIN.plusSeconds(second);
      for (int i = 0; i < REQUESTS_PER_SECOND; i++) {
        request(second, now);
      }
      if (network != null) {
        network.second(now);
      }
    }

    private void request(int second, Instant now) {
      VersionQuality book = books.get(random.nextInt(entries));
      boolean isNew = random.nextBoolean() && !book.isSuspect(NEW);
      boolean begins = random.nextDouble() < NEW_SESSION_SHARE;
      if (isNew && second >= ONSET_SECOND) {
        requests++;
        sessions += begins ? 1 : 0;
      }
      double chance = isNew ? decay.chance(second) : GOOD_CHANCE;
      double rating = random.nextDouble() < chance ? 0.9 : 0.2;
      ids++;
      double ratedShare = book.ratingShare(isNew ? NEW : OLD, RATED_SHARE);
      ratings += ratedShare;
      AttemptOutcome outcome =
          new AttemptOutcome(
              "r" + ids,
              isNew ? NEW : OLD,
              "club",
              300,
              AttemptOutcome.Ending.WHOLE,
              random.nextDouble() < ratedShare ? rating : null,
              100L,
              300);
      book.record(outcome, now);
    }

    private static FixedConfiguration configuration() {
      Price price = new Price(10, 40);
      Model.Version first = new Model.Version("1", price, GOOD_CHANCE);
      Model.Version second = new Model.Version("2", price, GOOD_CHANCE);
      RollOut.Step half = new RollOut.Step(50, List.of(), List.of());
      return FixedConfiguration.of(
          List.of(new Model("ruling", List.of(first, second), "1")),
          List.of(new RollOut("ruling", "1", "2", List.of(half), 0, RollOut.State.RUNNING)));
    }
  }
}
