package org.skylarkfork.standin.load;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.HdrHistogram.Histogram;

/**
 * What a load showed.
 *
 * @param requests how many requests there were
 * @param outcomes how many ended in which way
 * @param mixed answers that were not the request's own, not whole or more than whole
 * @param resent requests that were sent more than once
 * @param movedSessions sessions that changed their version without being told
 * @param costMicros cost of all answers in millionths of the currency unit
 * @param draftFirstToken times to the first byte of drafts in milliseconds
 * @param draftTotal times of whole drafts in milliseconds
 * @param lookups times of lookups in milliseconds
 * @param issues times of non-idempotent calls in milliseconds
 */
public record LoadReport(
    int requests,
    Map<LoadOutcome, Integer> outcomes,
    int mixed,
    int resent,
    int movedSessions,
    long costMicros,
    Percentiles draftFirstToken,
    Percentiles draftTotal,
    Percentiles lookups,
    Percentiles issues) {

  private static final long HIGHEST_MICROS = 3_600_000_000L;
  private static final int DIGITS = 3;
  private static final double MICROS_PER_MILLI = 1000.0;

  /**
   * Percentiles of times in milliseconds.
   *
   * @param count how many times there were
   * @param p50 half were faster
   * @param p95 95 in 100 were faster
   * @param p99 99 in 100 were faster
   * @param max the slowest
   */
  public record Percentiles(long count, double p50, double p95, double p99, double max) {

    static Percentiles of(Histogram micros) {
      return new Percentiles(
          micros.getTotalCount(),
          micros.getValueAtPercentile(50) / MICROS_PER_MILLI,
          micros.getValueAtPercentile(95) / MICROS_PER_MILLI,
          micros.getValueAtPercentile(99) / MICROS_PER_MILLI,
          micros.getMaxValue() / MICROS_PER_MILLI);
    }
  }

  /** Makes a report of whole answers' times and all outcomes. */
  public static LoadReport of(List<LoadRecord> records) {
    Map<LoadOutcome, Integer> outcomes = new EnumMap<>(LoadOutcome.class);
    Histogram first = new Histogram(HIGHEST_MICROS, DIGITS);
    Map<LoadKind, Histogram> totals = new EnumMap<>(LoadKind.class);
    for (LoadKind kind : LoadKind.values()) {
      totals.put(kind, new Histogram(HIGHEST_MICROS, DIGITS));
    }
    for (LoadRecord record : records) {
      outcomes.merge(record.outcome(), 1, Integer::sum);
      if (record.outcome() == LoadOutcome.WHOLE) {
        totals.get(record.kind()).recordValue(record.totalMicros());
        if (record.kind() == LoadKind.DRAFT) {
          first.recordValue(Math.max(0, record.firstTokenMicros()));
        }
      }
    }
    return new LoadReport(
        records.size(),
        outcomes,
        mixed(outcomes),
        (int) records.stream().filter(record -> record.sends() > 1).count(),
        movedSessions(records),
        records.stream().mapToLong(LoadRecord::costMicros).sum(),
        Percentiles.of(first),
        Percentiles.of(totals.get(LoadKind.DRAFT)),
        Percentiles.of(totals.get(LoadKind.LOOKUP)),
        Percentiles.of(totals.get(LoadKind.ISSUE)));
  }

  private static int mixed(Map<LoadOutcome, Integer> outcomes) {
    return outcomes.getOrDefault(LoadOutcome.FOREIGN, 0)
        + outcomes.getOrDefault(LoadOutcome.CUT, 0)
        + outcomes.getOrDefault(LoadOutcome.DOUBLED, 0);
  }

  /** Counts sessions with two versions of one model of which no answer said that it moved. */
  private static int movedSessions(List<LoadRecord> records) {
    Map<String, Set<String>> versions = new HashMap<>();
    Set<String> told = new HashSet<>();
    for (LoadRecord record : records) {
      String version = record.version();
      if (record.session() == null || version == null) {
        continue;
      }
      String pin = record.session() + "/" + version.substring(0, version.indexOf(':'));
      versions.computeIfAbsent(pin, key -> new HashSet<>()).add(version);
      if (record.moved()) {
        told.add(pin);
      }
    }
    return (int)
        versions.entrySet().stream()
            .filter(entry -> entry.getValue().size() > 1 && !told.contains(entry.getKey()))
            .count();
  }
}
