package org.skylarkfork.runtime.trace;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** The metrics of one daemon, made on first use. */
public final class Metrics {

  private static final String PREFIX = "skylarkfork_";
  private static final String LABEL = "kind";
  private static final String CONFLICTS = "metric_name_conflicts";
  private static final double[] SECONDS = {
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60
  };

  private final PrometheusRegistry registry = new PrometheusRegistry();
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();
  private final Map<String, Gauge> gauges = new ConcurrentHashMap<>();

  /**
   * Adds to a counter.
   *
   * @param name name without prefix and {@code _total}
   * @param label value of the label {@code kind}, may be empty
   * @param amount what to add; a negative amount is ignored
   */
  public void count(String name, String label, double amount) {
    if (amount < 0) {
      return;
    }
    Counter counter =
        made(
            counters,
            name,
            missing ->
                Counter.builder()
                    .name(PREFIX + missing)
                    .help("Count of " + missing.replace('_', ' ') + ".")
                    .labelNames(LABEL)
                    .register(registry));
    if (counter != null) {
      counter.labelValues(label).inc(amount);
    }
  }

  /**
   * Records a value in a histogram.
   *
   * @param name name with its unit, without prefix
   * @param label value of the label {@code kind}, may be empty
   * @param value the value
   */
  public void observe(String name, String label, double value) {
    Histogram histogram =
        made(
            histograms,
            name,
            missing ->
                Histogram.builder()
                    .name(PREFIX + missing)
                    .help("Distribution of " + missing.replace('_', ' ') + ".")
                    .classicOnly()
                    .classicUpperBounds(SECONDS)
                    .labelNames(LABEL)
                    .register(registry));
    if (histogram != null) {
      histogram.labelValues(label).observe(value);
    }
  }

  /**
   * Sets a gauge.
   *
   * @param name name with its unit, without prefix
   * @param label value of the label {@code kind}, may be empty
   * @param value the value
   */
  public void set(String name, String label, double value) {
    Gauge gauge =
        made(
            gauges,
            name,
            missing ->
                Gauge.builder()
                    .name(PREFIX + missing)
                    .help("Present " + missing.replace('_', ' ') + ".")
                    .labelNames(LABEL)
                    .register(registry));
    if (gauge != null) {
      gauge.labelValues(label).set(value);
    }
  }

  /**
   * Returns a metric, or null if its name is taken by one of another type.
   *
   * <p>The library throws then. Thrown on, that would fail each scrape, or the thread that decides
   * all requests; a value that isn't shown harms neither, and the counter tells of the mistake.
   */
  private <M> @Nullable M made(Map<String, M> known, String name, Function<String, M> maker) {
    try {
      return known.computeIfAbsent(name, maker);
    } catch (IllegalArgumentException conflict) {
      count(CONFLICTS, name, 1);
      return null;
    }
  }

  /** Returns all metrics in the Prometheus text format. */
  public String text() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      PrometheusTextFormatWriter.create().write(bytes, registry.scrape());
    } catch (IOException impossible) {
      throw new IllegalStateException("memory can always be written", impossible);
    }
    return bytes.toString(StandardCharsets.UTF_8);
  }
}
