package org.skylarkfork.core.order;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.skylarkfork.core.configuration.ModelVersion;
import org.skylarkfork.core.upstream.Announcement;
import org.skylarkfork.core.upstream.UpstreamKind;

/**
 * The engines as they announce themselves, which is the truth about what is loaded.
 *
 * @param engines engines that are neither leaving nor drained
 * @param busy ids of engines with an open order
 * @param isPassedOver tells which engines refused an order a short while ago
 */
record EngineView(List<Announcement> engines, Set<String> busy, Predicate<String> isPassedOver) {

  /** Picks the engines that may be ordered something. */
  static EngineView of(
      List<Announcement> all,
      List<String> drained,
      Set<String> busy,
      Predicate<String> isPassedOver) {
    return new EngineView(
        all.stream()
            .filter(one -> one.kind() == UpstreamKind.ENGINE)
            .filter(one -> !one.leaving() && !one.gone() && !drained.contains(one.id()))
            .toList(),
        busy,
        isPassedOver);
  }

  /** Returns whether an engine announces a version. */
  static boolean hasLoaded(Announcement engine, ModelVersion version) {
    return engine.models().stream()
        .anyMatch(
            loaded ->
                loaded.model().equals(version.model())
                    && loaded.version().equals(version.version()));
  }

  /** Returns the engines that announce a version. */
  List<Announcement> with(ModelVersion version) {
    return engines.stream().filter(engine -> hasLoaded(engine, version)).toList();
  }

  /** Returns the engines that announce one of two versions. */
  List<Announcement> withEither(ModelVersion one, ModelVersion other) {
    return engines.stream()
        .filter(engine -> hasLoaded(engine, one) || hasLoaded(engine, other))
        .toList();
  }

  /**
   * Returns engines without a version that may take it, those with an open order and then those of
   * zones that have it least first.
   */
  List<Announcement> without(ModelVersion version, List<Announcement> among) {
    Map<String, Long> byZone =
        with(version).stream()
            .collect(Collectors.groupingBy(Announcement::zone, Collectors.counting()));
    return among.stream()
        .filter(engine -> !hasLoaded(engine, version))
        .filter(engine -> !isPassedOver.test(engine.id()))
        .sorted(
            Comparator.comparing((Announcement engine) -> !busy.contains(engine.id()))
                .thenComparing(engine -> byZone.getOrDefault(engine.zone(), 0L))
                .thenComparing(Announcement::id))
        .toList();
  }
}
